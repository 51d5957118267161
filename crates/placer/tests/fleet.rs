//! Placer and entry processes with engine stand-ins.

use {
    order::EngineState,
    proofs::{FleetHarness, FleetPlan},
    std::time::{Duration, Instant},
};

/// Time within which every engine runs what a new sheet wants: the sheet reaches the entries within
/// 5 s, a new owner waits two leases, and a lost race costs a repair pause.
const ORDER_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two readings of an engine's state.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Engines of the plan: the first checks orders, the second does not.
const ENGINES: [&str; 2] = ["model1", "model2"];

/// Plan of a fleet with two entries, whose first sheet wants `reader@1` on each engine.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::small(2);
    for name in ENGINES {
        let target = plan.target_mut(name);
        target.row.models = vec![String::from("reader@1")];
    }
    let checking_engine = plan.target_mut(ENGINES[0]);
    checking_engine.row.checks_orders = true;
    checking_engine
        .arguments
        .push(String::from("--checks-orders"));
    plan
}

/// Starts a placer next to the entry of a host.
async fn start_placer(fleet: &mut FleetHarness, host: &str) {
    let entry = fleet.process(host).address("operators");
    let settings = format!(
        "host = \"{host}\"\nlisten = \"127.0.0.1:0\"\nentry = \"{entry}\"\n\
         [orders]\nlease = \"1s\"\nread_period = \"300ms\"\nrepair_pause = \"1s\"\n\
         loads_per_second = 20.0\n"
    );
    let name = format!("{host}-placer");
    let started = fleet
        .start_program(&name, "camphor-placer", &settings)
        .await;
    started.unwrap();
}

/// Waits until both engines run a model by an order under a sheet version.
async fn wait_for_model(fleet: &FleetHarness, model: &str, version: u64) {
    let end = Instant::now() + ORDER_TIMEOUT;
    for name in ENGINES {
        let url = format!("http://{}/engine", fleet.target_address(name));
        loop {
            let state: EngineState = fleet.probe().get(&url).await.unwrap();
            if state.models == [model] && state.sheet_version == version {
                break;
            }
            assert!(Instant::now() < end, "{name} is not on {model}: {state:?}");
            actix_rt::time::sleep(POLL_PAUSE).await;
        }
    }
}

/// Guards against engines that keep an old model, or none, after a new sheet, after a restart that
/// reset their state, or after the placer and the entry that owned them were killed.
#[actix_rt::test]
async fn engines_follow_sheets_when_placers_die_and_engines_restart() {
    let mut fleet = FleetHarness::start(plan()).await.unwrap();
    start_placer(&mut fleet, "h1").await;
    start_placer(&mut fleet, "h2").await;
    wait_for_model(&fleet, "reader@1", 1).await;

    let version = fleet
        .publish(|rows| {
            for row in &mut rows.target {
                if !row.models.is_empty() {
                    row.models = vec![String::from("reader@2")];
                }
            }
        })
        .await
        .unwrap();
    wait_for_model(&fleet, "reader@2", version).await;

    for name in ENGINES {
        fleet.restart_target(name).await.unwrap();
    }
    let version = fleet.publish(|_| {}).await.unwrap();
    wait_for_model(&fleet, "reader@2", version).await;

    fleet.process_mut("h1-placer").kill().unwrap();
    fleet.process_mut("h1").kill().unwrap();
    let version = fleet
        .publish(|rows| {
            for row in &mut rows.target {
                if !row.models.is_empty() {
                    row.models = vec![String::from("reader@3")];
                }
            }
        })
        .await
        .unwrap();
    wait_for_model(&fleet, "reader@3", version).await;
}
