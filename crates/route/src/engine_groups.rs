use {
    crate::{PrefixKey, entry_ranking::weighted_score},
    base::StableHash,
    plan::TargetRow,
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of engines of a group in the mean, while a data centre has enough of them.
const MEAN_GROUP_SIZE: usize = 16;

/// Engines of one data centre whose requests are placed by one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineGroup {
    /// Name of the group, which determines the entry that owns it.
    pub name: String,
    /// Data centre of its engines.
    pub data_centre: String,
    /// Ids of its engines.
    pub targets: BTreeSet<String>,
}

/// The groups into which the engines of a service are divided, the same on every entry that knows
/// the same engines.
///
/// All prompts with the same shared part belong to one group. An engine that comes or goes changes
/// only its own group, and moves few prompts between groups, so that the other engines keep the
/// prompts that they have cached.
///
/// ```
/// use {plan::TargetRow, route::EngineGroups, std::collections::BTreeMap};
///
/// let row = TargetRow {
///     service: String::from("models"),
///     address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: String::from("north"),
///     version: Some(String::from("v1")),
///     slots: 16,
///     leaving: false,
///     started_ms: 0,
/// };
/// let rows = BTreeMap::from([(String::from("e1"), row)]);
/// let groups = EngineGroups::new("models", &rows);
/// assert_eq!(groups.group_of(7).unwrap().data_centre, "north");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineGroups {
    groups: Vec<EngineGroup>,
}

impl EngineGroups {
    /// Divides the engines that are not leaving into groups, by data centre and the hash of their
    /// ids.
    pub fn new<'a>(
        service: &str,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
    ) -> Self {
        let mut by_centre: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
        for (id, row) in rows {
            if !row.leaving {
                by_centre.entry(&row.data_centre).or_default().push(id);
            }
        }
        let mut groups: BTreeMap<String, EngineGroup> = BTreeMap::new();
        for (data_centre, ids) in by_centre {
            // A power of two, so that the number seldom changes and then splits or joins groups.
            let group_count = (ids.len() / MEAN_GROUP_SIZE).next_power_of_two() as u64;
            for id in ids {
                let number = StableHash::new().with_text(id).finish() % group_count;
                let name = format!("{service}@{data_centre}{number}");
                let group = groups.entry(name.clone()).or_insert_with(|| EngineGroup {
                    name,
                    data_centre: data_centre.to_string(),
                    targets: BTreeSet::new(),
                });
                group.targets.insert(id.clone());
            }
        }
        Self {
            groups: groups.into_values().collect(),
        }
    }

    /// Returns all groups, ordered by name.
    pub fn groups(&self) -> &[EngineGroup] {
        &self.groups
    }

    /// Returns the group of all prompts with this shared prefix; larger groups have more prompts.
    /// `None` if there are no engines.
    pub fn group_of(&self, key: PrefixKey) -> Option<&EngineGroup> {
        let score = |group: &EngineGroup| {
            let hash = StableHash::new().with_number(key).with_text(&group.name);
            weighted_score(hash.finish(), group.targets.len() as f64)
        };
        self.groups
            .iter()
            .max_by(|left, right| score(left).total_cmp(&score(right)))
    }

    /// Returns the group with this name.
    pub fn group(&self, name: &str) -> Option<&EngineGroup> {
        self.groups.iter().find(|group| group.name == name)
    }
}
