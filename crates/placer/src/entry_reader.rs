use {
    crate::{http_reader::HttpReader, placer_state::PlacerState},
    anyhow::ensure,
    base::{HostId, SHEET_HEADER, SheetVersion},
    order::OrderEvent,
    serde::{Deserialize, de::DeserializeOwned},
    sheet::{FleetSheet, SheetBundle},
    slog::warn,
    stamp::EventKind,
    std::{rc::Rc, sync::Arc, time::Instant},
    tokio::sync::mpsc::UnboundedSender,
};

/// Part of an entry's status that is of use here.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    sheet_version: SheetVersion,
    /// Hosts that are live as far as the entry knows.
    hosts: Vec<HostId>,
}

/// Reads live hosts and the sheet in force from the entry beside.
pub struct EntryReader {
    state: Rc<PlacerState>,
    reader: HttpReader,
    events: UnboundedSender<OrderEvent>,
}

impl EntryReader {
    pub fn new(state: Rc<PlacerState>, events: UnboundedSender<OrderEvent>) -> Self {
        Self {
            state,
            reader: HttpReader::new(),
            events,
        }
    }

    /// Reads again and again, several times a lease.
    pub async fn run(self) {
        loop {
            if let Err(error) = self.read_once().await {
                self.state.metrics.count("entry_failures", 1);
                warn!(self.state.log, "entry not read"; "error" => format!("{error:#}"));
            }
            actix_rt::time::sleep(self.state.settings.orders.lease / 4).await;
        }
    }

    async fn read_once(&self) -> anyhow::Result<()> {
        let asked_at = Instant::now();
        let status: EntryStatus = self.get("status").await?;
        let hosts = status.hosts;
        let _ = self.events.send(OrderEvent::HostsLive { hosts, asked_at });
        if status.sheet_version > self.state.sheet_version.get() {
            self.read_sheet().await?;
        }
        Ok(())
    }

    async fn read_sheet(&self) -> anyhow::Result<()> {
        let bundle: SheetBundle = self.get("sheet").await?;
        let version = bundle.index.version;
        let Ok(sheet) = FleetSheet::assemble(bundle.index, &bundle.parts) else {
            anyhow::bail!("sheet {version} of the entry does not pass the checks here");
        };
        if version > self.state.sheet_version.get() {
            self.state.sheet_version.set(version);
            self.state.record(EventKind::SheetInForce, |event| {
                event.with_sheet_version(version)
            });
            let sheet = Arc::new(sheet);
            let _ = self.events.send(OrderEvent::SheetInForce { sheet });
        }
        Ok(())
    }

    /// Reads a path, and tells the entry the latest version that an engine has met.
    async fn get<Answer: DeserializeOwned>(&self, path: &str) -> anyhow::Result<Answer> {
        let settings = &self.state.settings;
        let url = format!("http://{}/{path}", settings.entry);
        let seen = self.state.seen_version.get();
        let header = (seen > 0).then(|| (SHEET_HEADER, seen.to_string()));
        let (status, body) = self.reader.get(&url, header, settings.orders.lease).await?;
        ensure!(status.is_success(), "{url}: {status}");
        Ok(serde_json::from_slice(&body)?)
    }
}
