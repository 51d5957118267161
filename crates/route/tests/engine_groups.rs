//! Tests into which groups engines and prompts fall, and how the entry that places all requests of a
//! group chooses among its engines.

use {
    plan::{EngineSpec, ServiceSpec, TargetRow},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    route::{
        EngineGroups, NoticeStanding, PromptPart, ServiceOutcome, ServicePick, ServicePool,
        ServiceQuery, VersionRule, prefix_keys,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

fn row(number: usize) -> TargetRow {
    TargetRow {
        service: String::from("models"),
        address: format!("10.0.{}.{}:80", number / 200, number % 200)
            .parse()
            .unwrap(),
        data_centre: format!("z{}", number % 5),
        version: Some(String::from("v1")),
        slots: 16,
        leaving: false,
        started_ms: 0,
    }
}

fn rows(count: usize) -> BTreeMap<String, TargetRow> {
    (0..count)
        .map(|number| (format!("e{number}"), row(number)))
        .collect()
}

#[test]
fn every_engine_is_in_one_group_of_its_data_centre() {
    let rows = rows(256);
    let groups = EngineGroups::new("models", &rows);
    let mut seen = BTreeSet::new();
    for group in groups.groups() {
        for target in &group.targets {
            assert_eq!(rows[target].data_centre, group.data_centre);
            assert!(seen.insert(target.clone()), "{target} is in two groups");
        }
    }
    assert_eq!(seen.len(), rows.len());
    assert!((10..=20).contains(&groups.groups().len()));
}

/// Engines that are replaced one after the other must not move the prompts that others have cached.
#[test]
fn an_engine_that_leaves_moves_few_prompts() {
    let mut rows = rows(256);
    let before = EngineGroups::new("models", &rows);
    rows.get_mut("e7").unwrap().leaving = true;
    let after = EngineGroups::new("models", &rows);
    let moved = (0..2_000_u64).filter(|key| {
        let name = |groups: &EngineGroups| groups.group_of(*key).unwrap().name.clone();
        name(&before) != name(&after)
    });
    let moved = moved.count();
    assert!(moved < 40, "{moved} of 2,000 prompts have another group");
}

#[test]
fn groups_have_prompts_in_proportion_to_their_engines() {
    let groups = EngineGroups::new("models", &rows(256));
    let mut counts: BTreeMap<String, f64> = BTreeMap::new();
    for key in 0..20_000_u64 {
        let group = groups.group_of(key * 7_919).unwrap();
        *counts.entry(group.name.clone()).or_default() += 1.0;
    }
    for group in groups.groups() {
        let share = counts[&group.name] / 20_000.0;
        let expected = group.targets.len() as f64 / 256.0;
        assert!(
            (0.8..1.25).contains(&(share / expected)),
            "{}: {share} of the prompts for {expected} of the engines",
            group.name
        );
    }
}

/// A group of nine engines, all of whose requests the pool places.
struct PlacedGroup {
    pool: ServicePool,
    targets: BTreeSet<String>,
    random: ChaCha8Rng,
    now: Instant,
}

impl PlacedGroup {
    fn new() -> Self {
        let rows = rows(9);
        let spec = ServiceSpec {
            name: String::from("models"),
            engine: Some(EngineSpec {
                slots: 16,
                cache_tokens: 320_000,
                fetch_time: Some(Duration::from_micros(13)),
            }),
            pieces: None,
        };
        let mut pool = ServicePool::new();
        pool.set_targets(&spec, &rows);
        Self {
            pool,
            targets: rows.into_keys().collect(),
            random: ChaCha8Rng::seed_from_u64(3),
            now: Instant::now(),
        }
    }

    fn place(&mut self, prompt: &[(u64, u32)]) -> ServicePick {
        let query = ServiceQuery {
            prefixes: prompt,
            tried: &[],
            data_centre: "z0",
            inputs: &BTreeMap::new(),
            versions: &VersionRule::Any,
            among: Some(&self.targets),
        };
        let pick = self.pool.pick(query, self.now, &mut self.random).unwrap();
        self.pool.record_start(&pick, prompt, self.now);
        pick
    }

    fn end(&mut self, pick: &ServicePick) {
        let elapsed = Duration::from_millis(400);
        self.pool.record_first_event(pick, elapsed);
        let outcome = ServiceOutcome::Answered;
        self.pool.record_end(pick, outcome, true, elapsed, self.now);
    }
}

fn prompt(session: usize, own: usize) -> Vec<(u64, u32)> {
    let part = |id: String, tokens| PromptPart { id, tokens };
    prefix_keys(&[
        part(String::from("system"), 2_500),
        part(format!("session-{session}"), 3_800),
        part(format!("own-{session}-{own}"), 900),
    ])
}

/// Load pattern: sessions that come again while the engines are idle. Their shared part must be read
/// once, and the part that all sessions share must be fetched, not read by each engine.
#[test]
fn sessions_that_come_again_are_not_read_again() {
    let mut group = PlacedGroup::new();
    let mut read_tokens = 0;
    for own in 0..5 {
        for session in 0..40 {
            let pick = group.place(&prompt(session, own));
            read_tokens += pick.unread_tokens;
            group.end(&pick);
        }
    }
    let own_tokens = 5 * 40 * 900;
    let shared_tokens = 2_500 + 40 * 3_800;
    assert!(
        read_tokens <= own_tokens + shared_tokens + 9 * 2_500 / 4,
        "{read_tokens} tokens read"
    );
}

/// Load pattern: a burst of requests, all under way at the same time, for sessions that no engine
/// has cached. No engine may get much more than its share.
#[test]
fn a_burst_is_spread_over_the_group() {
    let mut group = PlacedGroup::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for session in 0..90 {
        let pick = group.place(&prompt(session, 0));
        *counts.entry(pick.target).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 15, "the busiest of 9 engines got {most} of 90");
}

/// Load pattern: one session gets most of the traffic. Its engine must not be left alone with it.
#[test]
fn a_hot_session_is_spread_over_the_group() {
    let mut group = PlacedGroup::new();
    let picks: Vec<ServicePick> = (0..90).map(|own| group.place(&prompt(1, own))).collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for pick in &picks {
        *counts.entry(&pick.target).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 22, "the busiest of 9 engines got {most} of 90");
    let read_tokens: u32 = picks.iter().map(|pick| pick.unread_tokens).sum();
    assert!(
        read_tokens < 90 * 900 + 4 * 6_300,
        "{read_tokens} tokens read, so engines read the shared part in place of fetching it"
    );
}

/// What a target has said of itself binds the choice, whatever the list of targets says.
#[test]
fn targets_that_gave_notice_are_not_picked() {
    let mut group = PlacedGroup::new();
    let until = group.now + Duration::from_secs(2);
    for number in 0..9 {
        let standing = NoticeStanding {
            leaving: number % 2 == 0,
            paused_until: (number == 1).then_some(until),
        };
        group.pool.apply_notice(&format!("e{number}"), standing);
    }
    for session in 0..40 {
        let pick = group.place(&prompt(session, 0));
        assert!(["e3", "e5", "e7"].contains(&pick.target.as_str()));
    }
    // The list still says that all targets are ready.
    assert_eq!(group.pool.time_to_usable(group.now), Some(Duration::ZERO));
}
