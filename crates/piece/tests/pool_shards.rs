//! Tests which shard of a pool is chosen for new work.

use {
    piece::PoolShards,
    plan::TargetRow,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Number of choices that each test makes.
const CHOICES: u32 = 400;

/// Creates targets that are spread evenly over the data centres `dc0`, `dc1` and so on.
fn rows(target_count: usize, centre_count: usize) -> BTreeMap<String, TargetRow> {
    let rows = (0..target_count).map(|number| {
        let row = TargetRow {
            service: String::from("pieces"),
            address: format!("10.0.0.{number}:80").parse().unwrap(),
            data_centre: format!("dc{}", number * centre_count / target_count),
            version: Some(String::from("v1")),
            slots: 1,
            leaving: false,
            started_ms: 0,
        };
        (format!("t{number:02}"), row)
    });
    rows.collect()
}

fn shards(rows: &BTreeMap<String, TargetRow>) -> PoolShards {
    let rows: Vec<_> = rows.iter().collect();
    PoolShards::new("pieces", &rows)
}

/// Returns how often the first of two shards is chosen, given the wait at each in milliseconds.
fn count_first_chosen(wait_ms: [u64; 2], centre: Option<&str>) -> u32 {
    // Shards have up to nine targets, so each data centre is one shard.
    let rows = rows(18, 2);
    let shards = shards(&rows);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let wait = |name: &str| Duration::from_millis(wait_ms[usize::from(name.ends_with("#1"))]);
    let choices = 0..CHOICES;
    let first = choices.filter(|_| {
        let shard = shards.choose_shard(centre, wait, &mut random).unwrap();
        shard.name.ends_with("#0")
    });
    u32::try_from(first.count()).unwrap()
}

/// Guards against all work going to the first shard while no waits are known, as after a restart of
/// all entries.
#[test]
fn shards_with_equal_waits_share_the_work() {
    let first = count_first_chosen([0, 0], None);
    assert!(
        (CHOICES * 2 / 5..=CHOICES * 3 / 5).contains(&first),
        "{first}"
    );
}

#[test]
fn a_shard_with_a_longer_wait_is_chosen_less_often() {
    let first = count_first_chosen([60, 0], None);
    assert!((1..CHOICES * 2 / 5).contains(&first), "{first}");
    assert_eq!(count_first_chosen([400, 0], None), 0);
}

#[test]
fn work_stays_in_its_data_centre_while_the_wait_there_is_short() {
    assert_eq!(count_first_chosen([100, 0], Some("dc0")), CHOICES);
    assert_eq!(count_first_chosen([900, 0], Some("elsewhere")), 0);
}

/// Load pattern: a burst of requests whose inputs are all in one data centre. Its shard must not
/// have a queue of a second while another one is idle.
#[test]
fn work_goes_to_another_data_centre_when_the_wait_at_home_is_long() {
    let at_home = count_first_chosen([300, 0], Some("dc0"));
    assert!((1..CHOICES).contains(&at_home), "{at_home}");
    assert_eq!(count_first_chosen([600, 0], Some("dc0")), 0);
    assert_eq!(count_first_chosen([600, 600], Some("dc0")), CHOICES);
}

#[test]
fn a_pool_without_targets_has_no_shard_to_choose() {
    let shards = PoolShards::new("pieces", &[]);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    assert!(
        shards
            .choose_shard(None, |_| Duration::ZERO, &mut random)
            .is_none()
    );
}
