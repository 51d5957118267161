//! The harness itself, with stand-ins only.

use {
    proofs::{FleetHarness, FleetPlan, JsonProbe, wait_until},
    serde_json::json,
    sheet::{FleetSheet, SheetIndex},
    stand::{PlatformFault, PlatformMode, ProxyFault, TargetHealth},
    std::{process::Command, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(300);

async fn health(address: &str) -> anyhow::Result<TargetHealth> {
    JsonProbe::new()
        .get(&format!("http://{address}/health"))
        .await
}

#[actix_rt::test]
async fn plan_is_published_as_a_whole_sheet() -> anyhow::Result<()> {
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
            assert_ne!(row.address, harness.target_address(&row.name), "a proxy's");
            health(&row.address).await?;
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

#[actix_rt::test]
async fn processes_are_paused_killed_and_started_again() -> anyhow::Result<()> {
    let mut harness = FleetHarness::start_without_entries(FleetPlan::small(0)).await?;
    let address = harness.target_address("encode1");
    harness.process("encode1").freeze()?;
    let early = actix_rt::time::timeout(SILENCE, health(&address)).await;
    assert!(early.is_err(), "a frozen process is silent");
    harness.process("encode1").unfreeze()?;
    let before = health(&address).await?;
    harness.process_mut("encode1").kill()?;
    assert!(health(&address).await.is_err());
    harness.restart_target("encode1").await?;
    assert_eq!(harness.target_address("encode1"), address);
    assert!(health(&address).await?.incarnation > before.incarnation);
    harness.process("encode1").terminate()?;
    assert!(harness.wait_for_exit("encode1", LIMIT).await?.success());
    Ok(())
}

#[actix_rt::test]
async fn faults_reach_their_process() -> anyhow::Result<()> {
    let harness = FleetHarness::start_without_entries(FleetPlan::small(0).proxied()).await?;
    harness
        .control_target("model1", &json!({"leaving": true}))
        .await?;
    assert!(health(&harness.target_address("model1")).await?.leaving);
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
    assert!(health(&proxy).await.is_err());
    assert!(harness.call_records("encode1").await?.is_empty());
    assert!(harness.posting_counts()?.is_empty());
    Ok(())
}

#[actix_rt::test]
async fn dropped_harness_leaves_no_process() -> anyhow::Result<()> {
    let harness = FleetHarness::start_without_entries(FleetPlan::small(0)).await?;
    let id = harness.process("ledger1").id().to_string();
    let lives = || Command::new("kill").args(["-0", &id]).output();
    assert!(lives()?.status.success());
    harness.process("ledger1").freeze()?;
    drop(harness);
    wait_until("it is gone", LIMIT, async || {
        lives().is_ok_and(|output| !output.status.success())
    })
    .await
}
