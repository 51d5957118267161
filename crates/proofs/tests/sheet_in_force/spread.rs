use {
    crate::watched_fleet::{
        IN_FORCE_TIMEOUT, POLL_PAUSE, PUBLISH_ROUNDS, SEED, WAIT_TIMEOUT, WatchedFleet,
        look_request, publish_rows, rows_with_weight,
    },
    base::{FailureReason, RunVerdict},
    proofs::{FleetHarness, FleetPlan, TestCaller, wait_until},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet::SheetPart,
    stand::{DirectionFault, PlatformMode, ProxyFault},
    std::{collections::BTreeSet, time::Instant},
};

/// Guards against a sheet that spreads too slowly or not to all entries after it is published.
#[actix_rt::test]
async fn sheet_is_in_force_everywhere_within_seconds() {
    let mut watched = WatchedFleet::start(FleetPlan::small(8)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut durations = Vec::new();
    for _ in 0..PUBLISH_ROUNDS {
        let weight = generator.random_range(1..100);
        let published = Instant::now();
        let change = |rows: &mut SheetPart| rows.customer[0].weight = weight;
        let version = watched.fleet.publish(change).await.unwrap();
        watched.wait_for_version(version).await;
        durations.push(published.elapsed());
    }
    println!("times from publishing to in force on 8 entries: {durations:?}");
    assert!(
        durations
            .iter()
            .all(|duration| *duration <= IN_FORCE_TIMEOUT)
    );
    watched.check_no_reversion().await;
}

/// Guards against entries that revert when the service serves an old version again: running ones, a
/// restarted one and a new one, which must get the later sheet from their peers.
#[actix_rt::test]
async fn stale_service_reverts_no_entry() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    watched.fleet.publish(|_| {}).await.unwrap();
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    watched.serve_old_version(1).await;
    watched.wait_for_counter("sheets.reported").await;
    watched.restart_entry("h2").await;
    watched.wait_for_version(version).await;
    watched.fleet.replace_entry("h3", "h9").await.unwrap();
    watched.watch_entry("h9");
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}

/// Guards against an isolated entry with an old sheet that reverts the others after the partition,
/// or never gets the later sheet, while the service serves the old one again.
#[actix_rt::test]
async fn entry_gets_the_later_sheet_after_a_partition() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.set_platform_cut("h4", true).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    for host in ["h1", "h2", "h3"] {
        let result = watched
            .fleet
            .wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
    watched.serve_old_version(1).await;
    watched.set_platform_cut("h4", false).await;
    watched.check_no_reversion().await;
    assert_eq!(watched.fetch_status("h4").await["sheet_version"], 1);
    let outcome = TestCaller::new()
        .run(
            &watched.fleet.caller_address("h4"),
            &look_request("cut-off"),
        )
        .await;
    assert!(
        outcome.complete_answer().is_some(),
        "the isolated entry must serve callers: {outcome:?}"
    );
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
}

/// Guards against an entry that fetches a new sheet only from the peer that announced it: that peer
/// can't be reached for the fetch, while another one that has the sheet can.
#[actix_rt::test]
async fn sheet_is_fetched_from_any_peer_that_has_it() {
    let plan = FleetPlan::small(3).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let before = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(before).await;
    watched.set_platform_cut("h3", true).await;
    let h2 = watched.fleet.process("h2").address("peers");
    let no_datagrams_from_h2 = ProxyFault {
        cut_sources: vec![h2.parse().unwrap()],
        ..ProxyFault::default()
    };
    watched
        .fleet
        .set_proxy_fault("h3", &no_datagrams_from_h2)
        .await
        .unwrap();
    // h3 receives datagrams from h1, which also name h2, but can fetch nothing from either.
    let half_closed = DirectionFault {
        half_close: true,
        ..DirectionFault::default()
    };
    let fault = ProxyFault {
        to: half_closed.clone(),
        from: half_closed,
        ..ProxyFault::default()
    };
    for host in ["h1", "h2"] {
        watched.fleet.set_proxy_fault(host, &fault).await.unwrap();
    }
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    let result = wait_until("h3 learns of the sheet from h1", WAIT_TIMEOUT, async || {
        watched.fetch_status("h3").await["latest_version"].as_u64() >= Some(version)
    });
    result.await.unwrap();
    assert_eq!(watched.fetch_status("h3").await["sheet_version"], before);
    let no_fault = ProxyFault::default();
    for host in ["h2", "h3"] {
        watched
            .fleet
            .set_proxy_fault(host, &no_fault)
            .await
            .unwrap();
    }
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
}

/// Guards against an entry that runs requests without a sheet or never gets one when it starts
/// while the service is down. It must get the sheet from its peers, or refuse requests until the
/// service is back if it has none.
#[actix_rt::test]
async fn entry_started_in_an_outage_gets_the_sheet_or_runs_nothing() {
    let mut watched = WatchedFleet::start(FleetPlan::small(3)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    watched.set_platform_mode(PlatformMode::Down).await;
    watched.restart_entry("h1").await;
    let result = watched
        .fleet
        .wait_for_sheet("h1", version, IN_FORCE_TIMEOUT);
    result.await.unwrap();
    for host in ["h2", "h3"] {
        watched.fleet.process_mut(host).kill().unwrap();
    }
    watched.restart_entry("h1").await;
    let entry = watched.fleet.caller_address("h1");
    for number in 0..20 {
        let request = look_request(&format!("no-sheet-{number}"));
        let outcome = TestCaller::new().run(&entry, &request).await;
        let report = outcome.failure().unwrap();
        assert_eq!(report.reason, FailureReason::NoSheet);
        assert_eq!(report.verdict, RunVerdict::NotRun);
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
    watched.set_platform_mode(PlatformMode::Ok).await;
    let result = watched
        .fleet
        .wait_for_sheet("h1", version, IN_FORCE_TIMEOUT);
    result.await.unwrap();
    assert_eq!(*watched.violations.borrow(), BTreeSet::new());
}

/// Restarts every entry while the service serves an old sheet, and checks that each stops serving
/// under it once a caller sends the proof of a later one.
async fn check_proof_blocks_old_sheet(entries: usize) {
    let mut fleet = FleetHarness::start(FleetPlan::small(entries))
        .await
        .unwrap();
    let version = fleet.publish(|_| {}).await.unwrap();
    let caller = TestCaller::new();
    let hosts: Vec<String> = (1..=entries).map(|number| format!("h{number}")).collect();
    for host in &hosts {
        fleet
            .wait_for_sheet(host, version, WAIT_TIMEOUT)
            .await
            .unwrap();
    }
    let answer = caller
        .fetch_addresses(&fleet.caller_address("h1"), "farm")
        .await;
    let proof = answer.unwrap().sheet_proof;
    for host in &hosts {
        fleet.process_mut(host).kill().unwrap();
    }
    publish_rows(&fleet, 1, &rows_with_weight(fleet.published_rows(), 50)).await;
    for host in &hosts {
        fleet.restart_entry(host).await.unwrap();
    }
    for host in &hosts {
        fleet.wait_for_sheet(host, 1, WAIT_TIMEOUT).await.unwrap();
    }
    for host in &hosts {
        let entry = fleet.caller_address(host);
        let mut request = look_request(&format!("{host}-proved"));
        request.sheet_proof = Some(proof.clone());
        let outcome = caller.run(&entry, &request).await;
        assert!(outcome.is_not_run(), "{outcome:?}");
        wait_until(
            "the entry no longer answers under the old sheet",
            WAIT_TIMEOUT,
            async || caller.fetch_addresses(&entry, "farm").await.is_err(),
        )
        .await
        .unwrap();
        for number in 0..20 {
            let request = look_request(&format!("{host}-held-{number}"));
            let outcome = caller.run(&entry, &request).await;
            assert!(outcome.is_not_run(), "{outcome:?}");
        }
    }
    for target in ["encode1", "encode2"] {
        assert_eq!(fleet.call_records(target).await.unwrap(), []);
    }
    publish_rows(&fleet, version, fleet.published_rows()).await;
    for host in &hosts {
        let result = fleet.wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
}

/// Guards against a restarted entry that runs requests under an old sheet of a stale service
/// although its caller has proof of a later one; there is no peer that has the later sheet.
#[actix_rt::test]
async fn proof_of_a_caller_blocks_an_old_sheet_at_a_lone_entry() {
    check_proof_blocks_old_sheet(1).await;
}

/// Guards against the same failure when all entries are restarted and agree on the old sheet: their
/// number must not outweigh the proof.
#[actix_rt::test]
async fn proof_of_a_caller_blocks_an_old_sheet_in_a_restarted_fleet() {
    check_proof_blocks_old_sheet(2).await;
}
