use {crate::LoadTally, std::collections::BTreeMap};

/// Compares the outcomes that callers saw with the postings that targets applied.
///
/// ```
/// let mut audit = load::PostingAudit::new();
/// audit.add_target(&[(String::from("dairy/r1"), 2)].into());
/// assert_eq!(audit.doubled(), ["dairy/r1"]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PostingAudit {
    applied: BTreeMap<String, u64>,
}

impl PostingAudit {
    /// Creates an audit without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the number of times that a target applied each posting, by `customer/request`.
    pub fn add_target(&mut self, postings: &BTreeMap<String, u64>) {
        for (key, count) in postings {
            *self.applied.entry(key.clone()).or_default() += count;
        }
    }

    /// Returns the requests whose posting was applied more than once.
    pub fn doubled(&self) -> Vec<String> {
        let doubled = self.applied.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the requests whose posting was never applied although the caller got a complete
    /// answer.
    pub fn lost(&self, tally: &LoadTally) -> Vec<String> {
        let keys = tally.must_post().iter();
        let lost = keys.filter(|key| !self.applied.contains_key(*key));
        lost.cloned().collect()
    }

    /// Returns the requests whose posting was applied although an entry reported that they did not
    /// run.
    pub fn ran_though_refused(&self, tally: &LoadTally) -> Vec<String> {
        let keys = tally.must_not_post().iter();
        let ran = keys.filter(|key| self.applied.contains_key(*key));
        ran.cloned().collect()
    }
}
