//! Tests of the harness itself, with stand-ins for targets, proxies and the platform and without
//! entries.

use {
    proofs::{FleetHarness, FleetPlan, JsonProbe, wait_until},
    serde_json::json,
    sheet::{FleetSheet, SheetIndex},
    stand::{PlatformFault, PlatformMode, ProxyFault, TargetHealth},
    std::{process::Command, time::Duration},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a frozen process must not answer.
const SILENCE_TIME: Duration = Duration::from_millis(300);

async fn fetch_health(address: &str) -> anyhow::Result<TargetHealth> {
    JsonProbe::new()
        .get(&format!("http://{address}/health"))
        .await
}

/// Guards against a harness that publishes a sheet with parts missing, old rows, or addresses that
/// bypass the proxies.
#[actix_rt::test]
async fn plan_is_published_as_a_complete_sheet() -> anyhow::Result<()> {
    let mut harness = FleetHarness::start_without_entries(FleetPlan::small(0).proxied()).await?;
    let service = harness.process("platform").address("service");
    for version in 1..=2 {
        let url = format!("http://{service}/values/sheet/index");
        let index: SheetIndex = toml::from_str(&harness.probe().get_text(&url).await?)?;
        assert_eq!(index.version, version);
        let url = format!("http://{service}/values/{}", index.part[0].key);
        let part = harness.probe().get_text(&url).await?;
        let sheet = FleetSheet::assemble(index, &[part]).unwrap();
        assert_eq!(sheet.pipelines.len(), 3);
        assert_eq!(sheet.customers.len(), 1 + version as usize);
        for row in sheet.targets.values() {
            assert_ne!(
                row.address,
                harness.target_address(&row.name),
                "the sheet must name the proxy"
            );
            fetch_health(&row.address).await?;
        }
        harness
            .publish(|rows| {
                let mut customer = rows.customer[0].clone();
                customer.name = format!("customer{version}");
                rows.customer.push(customer);
            })
            .await?;
    }
    Ok(())
}

/// Guards against process faults without effect: a frozen process that answers, a killed one that
/// lives on, and a restarted target that is the old process or listens at another address.
#[actix_rt::test]
async fn processes_are_frozen_killed_and_restarted() -> anyhow::Result<()> {
    let mut harness = FleetHarness::start_without_entries(FleetPlan::small(0)).await?;
    let address = harness.target_address("encode1");
    harness.process("encode1").freeze()?;
    let frozen_reply = actix_rt::time::timeout(SILENCE_TIME, fetch_health(&address)).await;
    assert!(frozen_reply.is_err(), "a frozen process must not answer");
    harness.process("encode1").unfreeze()?;
    let before = fetch_health(&address).await?;
    harness.process_mut("encode1").kill()?;
    assert!(fetch_health(&address).await.is_err());
    harness.restart_target("encode1").await?;
    assert_eq!(harness.target_address("encode1"), address);
    assert!(fetch_health(&address).await?.incarnation > before.incarnation);
    harness.process("encode1").terminate()?;
    assert!(
        harness
            .wait_for_exit("encode1", WAIT_TIMEOUT)
            .await?
            .success()
    );
    Ok(())
}

/// Guards against injected faults that are lost or reach another process, which would leave the
/// tests that use them without a fault.
#[actix_rt::test]
async fn faults_reach_their_process() -> anyhow::Result<()> {
    let harness = FleetHarness::start_without_entries(FleetPlan::small(0).proxied()).await?;
    harness
        .control_target("model1", &json!({"leaving": true}))
        .await?;
    assert!(
        fetch_health(&harness.target_address("model1"))
            .await?
            .leaving
    );
    let fault = PlatformFault {
        mode: Some(PlatformMode::Down),
        ..PlatformFault::default()
    };
    harness.set_platform_fault(&fault).await?;
    let service = harness.process("platform").address("service");
    let url = format!("http://{service}/values/sheet/index");
    assert!(harness.probe().get_text(&url).await.is_err());
    let cut = ProxyFault {
        cut: true,
        ..ProxyFault::default()
    };
    harness.set_proxy_fault("encode1", &cut).await?;
    let proxy = harness.process("encode1-proxy").address("proxy");
    assert!(fetch_health(&proxy).await.is_err());
    assert!(harness.call_records("encode1").await?.is_empty());
    assert!(harness.posting_counts()?.is_empty());
    Ok(())
}

/// Guards against processes that outlive their test, here one that is frozen when the harness is
/// dropped.
#[actix_rt::test]
async fn dropped_harness_leaves_no_process() -> anyhow::Result<()> {
    let harness = FleetHarness::start_without_entries(FleetPlan::small(0)).await?;
    let id = harness.process("ledger1").id().to_string();
    let check_alive = || Command::new("kill").args(["-0", &id]).output();
    assert!(check_alive()?.status.success());
    harness.process("ledger1").freeze()?;
    drop(harness);
    wait_until("the process is gone", WAIT_TIMEOUT, async || {
        check_alive().is_ok_and(|output| !output.status.success())
    })
    .await
}
