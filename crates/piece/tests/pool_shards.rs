//! Which part of a large pool gets the work.

use {
    piece::PoolShards,
    plan::TargetRow,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Choices that are drawn.
const DRAWS: u32 = 400;

fn rows(count: usize, centres: usize) -> BTreeMap<String, TargetRow> {
    let rows = (0..count).map(|number| {
        let row = TargetRow {
            service: String::from("pieces"),
            address: format!("10.0.0.{number}:80").parse().unwrap(),
            data_centre: format!("dc{}", number * centres / count),
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

/// How often the first part is chosen when the parts wait so many milliseconds.
fn first_chosen(waits: [u64; 2], centre: Option<&str>) -> u32 {
    let rows = rows(18, 2);
    let shards = shards(&rows);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let wait = |name: &str| Duration::from_millis(waits[usize::from(name.ends_with("#1"))]);
    let draws = 0..DRAWS;
    let first = draws.filter(|_| {
        let shard = shards.choose_shard(centre, wait, &mut random).unwrap();
        shard.name.ends_with("#0")
    });
    u32::try_from(first.count()).unwrap()
}

/// After a loss of all entries nobody knows any wait: all work went to the first part.
#[test]
fn parts_that_wait_alike_share_the_work() {
    let first = first_chosen([0, 0], None);
    assert!((DRAWS * 2 / 5..=DRAWS * 3 / 5).contains(&first), "{first}");
}

#[test]
fn a_part_that_waits_longer_gets_less() {
    let first = first_chosen([60, 0], None);
    assert!((1..DRAWS * 2 / 5).contains(&first), "{first}");
    assert_eq!(first_chosen([400, 0], None), 0);
}

#[test]
fn work_stays_in_its_data_centre_if_that_has_a_part() {
    assert_eq!(first_chosen([900, 0], Some("dc0")), DRAWS);
    assert_eq!(first_chosen([900, 0], Some("elsewhere")), 0);
}

#[test]
fn a_pool_without_targets_has_no_part_to_choose() {
    let shards = PoolShards::new("pieces", &[]);
    let mut random = ChaCha8Rng::seed_from_u64(4);
    assert!(
        shards
            .choose_shard(None, |_| Duration::ZERO, &mut random)
            .is_none()
    );
}
