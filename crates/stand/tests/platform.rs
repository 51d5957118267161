//! Platform processes: watches, faults, the host list and published sheets.

mod common;

use {
    base::{HostList, HostState, ListedTarget, RequestPriority},
    common::{STEP_TIMEOUT, start},
    proofs::{ChildProcess, JsonProbe, wait_until},
    serde_json::json,
    sheet::{CustomerRow, SheetIndex, SheetPart},
    stand::SheetPublisher,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// A platform process with clients of both its interfaces.
struct PlatformProbe {
    _folder: TempDir,
    _process: ChildProcess,
    probe: JsonProbe,
    publisher: SheetPublisher,
    /// Base URL of the readers' interface.
    service: String,
    /// Base URL of the operators' interface.
    operators: String,
}

impl PlatformProbe {
    async fn start() -> anyhow::Result<Self> {
        let folder = TempDir::new()?;
        let process = start(folder.path(), &["platform"]).await?;
        let operators = process.address("operators");
        Ok(Self {
            _folder: folder,
            probe: JsonProbe::new(),
            publisher: SheetPublisher::new(&operators),
            service: format!("http://{}", process.address("service")),
            operators: format!("http://{operators}"),
            _process: process,
        })
    }

    /// Reads a path as a reader.
    async fn read(&self, path: &str) -> anyhow::Result<String> {
        self.probe
            .get_text(&format!("{}/{path}", self.service))
            .await
    }

    async fn set_fault(&self, fault: serde_json::Value) -> anyhow::Result<()> {
        let url = format!("{}/fault", self.operators);
        self.probe.post(&url, &fault).await.map(|_| ())
    }
}

#[actix_rt::test]
async fn watch_ends_at_a_change_or_after_its_wait() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    assert!(
        platform.read("values/a/b").await.is_err(),
        "the value is not absent"
    );
    platform.publisher.put_value("a/b", "one").await?;
    assert_eq!(platform.read("values/a/b").await?, "one");
    let unchanged = platform.read("values/a/b?after=1&wait_ms=50").await;
    assert!(unchanged.unwrap_err().to_string().contains("304"));
    let started = Instant::now();
    let (changed, put) = tokio::join!(
        platform.read("values/a/b?after=1&wait_ms=5000"),
        platform.publisher.put_value("a/b", "two"),
    );
    put?;
    assert_eq!(changed?, "two");
    assert!(started.elapsed() < Duration::from_secs(5));
    let url = format!("{}/calls", platform.operators);
    let call_counts: BTreeMap<String, u64> = platform.probe.get(&url).await?;
    assert_eq!(
        (call_counts["read_values"], call_counts["watch_values"]),
        (2, 2)
    );
    Ok(())
}

#[actix_rt::test]
async fn stale_service_gives_old_values_and_down_service_none() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    platform.publisher.put_value("key", "one").await?;
    platform.set_fault(json!({"mode": "stale"})).await?;
    platform.publisher.put_value("key", "two").await?;
    assert_eq!(platform.read("values/key").await?, "one");
    platform.set_fault(json!({"mode": "down"})).await?;
    assert!(platform.read("values/key").await.is_err());
    platform.set_fault(json!({"mode": "ok"})).await?;
    assert_eq!(platform.read("values/key").await?, "two");
    Ok(())
}

#[actix_rt::test]
async fn service_that_goes_down_breaks_open_watches() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    platform.publisher.put_value("key", "one").await?;
    let watch = platform.read("values/key?after=1&wait_ms=8000");
    let (watch, fault) = tokio::join!(watch, platform.set_fault(json!({"mode": "down"})));
    fault?;
    let error = watch.unwrap_err().to_string();
    assert!(!error.contains("304"), "the watch ended normally: {error}");
    Ok(())
}

#[actix_rt::test]
async fn published_sheet_is_read_back_unchanged() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    let parts = [String::from("# one\n"), String::from("# two\n")];
    let index = platform.publisher.publish(3, &parts).await?;
    let text = platform.read("values/sheet/index").await?;
    assert_eq!(toml::from_str::<SheetIndex>(&text)?, index);
    for (row, part) in index.part.iter().zip(&parts) {
        let text = platform.read(&format!("values/{}", row.key)).await?;
        assert_eq!(&text, part);
        assert_eq!(SheetIndex::part_digest(&text), row.digest);
    }
    Ok(())
}

#[actix_rt::test]
async fn host_list_becomes_visible_after_its_lag() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    let lag = Duration::from_millis(300);
    let first_list = HostList::default();
    let mut second_list = HostList::default();
    second_list.targets.push(ListedTarget {
        target: String::from("t1"),
        state: HostState::Leaving,
    });
    platform.publisher.put_hosts(&first_list).await?;
    platform
        .set_fault(json!({"hosts_lag_ms": lag.as_millis() as u64}))
        .await?;
    let (second_text, started) = (serde_json::to_string(&second_list)?, Instant::now());
    platform.publisher.put_hosts(&second_list).await?;
    wait_until("the second list is visible", STEP_TIMEOUT, async || {
        platform
            .read("hosts")
            .await
            .is_ok_and(|text| text == second_text)
    })
    .await?;
    assert!(started.elapsed() >= lag);
    Ok(())
}

/// Guards against a part of a large sheet that exceeds the service's size limit of a value: a sheet
/// with 31,000 customers is published and read back.
#[actix_rt::test]
async fn sheet_of_the_design_size_fits_the_service() -> anyhow::Result<()> {
    let platform = PlatformProbe::start().await?;
    let customers = (0..31_000).map(|number| CustomerRow {
        name: format!("organisation-{number}"),
        weight: 1,
        priority: RequestPriority::Normal,
        credential: blake3::hash(b"secret").to_hex().to_string(),
        entries: None,
    });
    let rows = SheetPart {
        customer: customers.collect(),
        ..SheetPart::default()
    };
    let parts = SheetPublisher::split_parts(&rows)?;
    let index = platform.publisher.publish(1, &parts).await?;
    let mut read_customers = Vec::new();
    for row in &index.part {
        let text = platform.read(&format!("values/{}", row.key)).await?;
        read_customers.extend(toml::from_str::<SheetPart>(&text)?.customer);
    }
    assert_eq!(read_customers, rows.customer);
    Ok(())
}
