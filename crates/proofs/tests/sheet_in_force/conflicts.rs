use {
    crate::watched_fleet::{
        IN_FORCE_TIMEOUT, PUBLISH_ROUNDS, SEED, WatchedFleet, publish_rows, rows_with_weight,
    },
    proofs::FleetPlan,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet::FleetSheet,
    stand::SheetPublisher,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Guards against entries that replace the sheet in force by another one that was published under
/// the same version, or keep their sheet without a report.
#[actix_rt::test]
async fn other_content_under_the_version_in_force_is_refused_and_reported() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    let digest_in_force = watched.fetch_digest("h1").await;
    let other = publish_rows(
        &watched.fleet,
        version,
        &rows_with_weight(watched.fleet.published_rows(), 50),
    )
    .await;
    assert_ne!(other.digest(), digest_in_force);
    watched.wait_for_counter("sheets.reported").await;
    watched.check_no_reversion().await;
    for host in watched.hosts() {
        assert_eq!(watched.fetch_digest(&host).await, digest_in_force);
        let log = watched.fleet.log_text(&host);
        assert!(log.contains(&format!("another sheet {version}")), "{log}");
    }
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}

/// Guards against entries that switch between two sheets when two operators publish under one
/// version at nearly the same time. Each entry must keep the sheet that it adopted first, and the
/// next version must make all equal.
#[actix_rt::test]
async fn next_version_resolves_two_sheets_of_one_version() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..PUBLISH_ROUNDS {
        let version = watched.fleet.take_version();
        let rows = watched.fleet.published_rows();
        let (first_rows, second_rows) = (rows_with_weight(rows, 50), rows_with_weight(rows, 60));
        let gap = Duration::from_millis(generator.random_range(0..400));
        let late_publish = async {
            actix_rt::time::sleep(gap).await;
            publish_rows(&watched.fleet, version, &second_rows).await
        };
        let (first, second) = tokio::join!(
            publish_rows(&watched.fleet, version, &first_rows),
            late_publish
        );
        let published_digests = BTreeSet::from([first.digest(), second.digest()]);
        let mut first_digests = BTreeMap::new();
        for _ in 0..2 {
            watched.check_no_reversion().await;
            for host in watched.hosts() {
                if watched.fetch_status(&host).await["sheet_version"].as_u64() != Some(version) {
                    continue;
                }
                let digest = watched.fetch_digest(&host).await;
                assert!(
                    published_digests.contains(&digest),
                    "digest of neither published sheet"
                );
                let first_digest = first_digests.entry(host).or_insert_with(|| digest.clone());
                assert_eq!(*first_digest, digest, "an entry must keep its first sheet");
            }
        }
        println!("round {round}, gap {gap:?}: {first_digests:?}");
        let next = watched.fleet.publish(|_| {}).await.unwrap();
        watched.wait_for_version(next).await;
        let mut digests = BTreeSet::new();
        for host in watched.hosts() {
            digests.insert(watched.fetch_digest(&host).await);
        }
        assert_eq!(
            digests.len(),
            1,
            "the next version must be the same on every entry"
        );
    }
}

/// Guards against entries that replace their sheet by another one of the same version when a
/// partition ends in whose two parts different sheets were adopted.
#[actix_rt::test]
async fn sheets_of_one_version_on_both_sides_of_a_partition_stay_until_the_next() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let version = watched.fleet.take_version();
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.set_platform_cut("h4", true).await;
    let rows = watched.fleet.published_rows();
    let first = publish_rows(&watched.fleet, version, &rows_with_weight(rows, 50)).await;
    for host in ["h1", "h2", "h3"] {
        let result = watched
            .fleet
            .wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
    let second = publish_rows(&watched.fleet, version, &rows_with_weight(rows, 60)).await;
    watched.set_platform_cut("h4", false).await;
    watched.wait_for_version(version).await;
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_for_counter("sheets.reported").await;
    watched.check_no_reversion().await;
    for host in ["h1", "h2", "h3"] {
        assert_eq!(watched.fetch_digest(host).await, first.digest());
    }
    assert_eq!(watched.fetch_digest("h4").await, second.digest());
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
    let next_digest = watched.fetch_digest("h1").await;
    assert_eq!(watched.fetch_digest("h4").await, next_digest);
}

/// Guards against an invalid sheet that is put in force in part, replaces the valid one, or is
/// refused with only some of its errors in the log.
#[actix_rt::test]
async fn invalid_sheet_is_refused_with_every_error() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let before = watched.fetch_digest("h1").await;
    let version = watched.fleet.take_version();
    let mut rows = watched.fleet.published_rows().clone();
    rows.target[0].capacity = 0;
    rows.target[1].pool = String::from("nowhere");
    rows.pipeline[0].stage.clear();
    rows.customer.push(rows.customer[0].clone());
    let parts = SheetPublisher::split_parts(&rows).unwrap();
    let index = watched.fleet.publisher().publish(version, &parts).await;
    let errors = FleetSheet::assemble(index.unwrap(), &parts).unwrap_err();
    assert!(errors.len() >= 4, "{errors:?}");
    watched.wait_for_counter("sheets.refused").await;
    for host in watched.hosts() {
        let log = watched.fleet.log_text(&host);
        for error in &errors {
            let text = serde_json::to_string(&error.to_string()).unwrap();
            assert!(log.contains(text.trim_matches('"')), "{host}: {error}");
        }
        assert_eq!(watched.fetch_digest(&host).await, before);
    }
    watched.check_no_reversion().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}
