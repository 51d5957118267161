use {
    crate::{http_client::HttpClient, placer_state::PlacerState},
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

/// Fields of the entry's `GET /status` answer that the placer needs.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    /// Version of the entry's sheet in force, 0 if none.
    sheet_version: SheetVersion,
    /// Hosts that the entry considers live.
    hosts: Vec<HostId>,
}

/// Polls the entry on the same host for the live hosts and the sheet in force.
pub struct EntryReader {
    state: Rc<PlacerState>,
    client: HttpClient,
    event_sender: UnboundedSender<OrderEvent>,
}

impl EntryReader {
    pub fn new(state: Rc<PlacerState>, event_sender: UnboundedSender<OrderEvent>) -> Self {
        Self {
            state,
            client: HttpClient::new(),
            event_sender,
        }
    }

    /// Polls four times per lease; does not return.
    pub async fn run(self) {
        loop {
            if let Err(error) = self.poll().await {
                self.state.metrics.count("entry_failures", 1);
                warn!(self.state.log,
                    "cannot read live hosts or the sheet from the entry; trying again";
                    "error" => format!("{error:#}"));
            }
            actix_rt::time::sleep(self.state.settings.orders.lease / 4).await;
        }
    }

    async fn poll(&self) -> anyhow::Result<()> {
        let asked_at = Instant::now();
        let status: EntryStatus = self.get("status").await?;
        let hosts = status.hosts;
        let _ = self
            .event_sender
            .send(OrderEvent::HostsLive { hosts, asked_at });
        if status.sheet_version > self.state.sheet_version.get() {
            self.read_sheet().await?;
        }
        Ok(())
    }

    async fn read_sheet(&self) -> anyhow::Result<()> {
        let bundle: SheetBundle = self.get("sheet").await?;
        let version = bundle.index.version;
        let Ok(sheet) = FleetSheet::assemble(bundle.index, &bundle.parts) else {
            anyhow::bail!(
                "sheet {version} of the entry is invalid; the previous sheet stays in force"
            );
        };
        if version > self.state.sheet_version.get() {
            self.state.sheet_version.set(version);
            self.state.record(EventKind::SheetInForce, |event| {
                event.with_sheet_version(version)
            });
            let sheet = Arc::new(sheet);
            let _ = self.event_sender.send(OrderEvent::SheetInForce { sheet });
        }
        Ok(())
    }

    /// Reads a path of the entry's operators' interface as JSON. The request carries the latest
    /// sheet version that an engine reported, so that an entry with an older one learns of it.
    async fn get<Answer: DeserializeOwned>(&self, path: &str) -> anyhow::Result<Answer> {
        let settings = &self.state.settings;
        let url = format!("http://{}/{path}", settings.entry);
        let seen_version = self.state.seen_version.get();
        let header = (seen_version > 0).then(|| (SHEET_HEADER, seen_version.to_string()));
        let (status, body) = self.client.get(&url, header, settings.orders.lease).await?;
        ensure!(status.is_success(), "{url}: {status}");
        Ok(serde_json::from_slice(&body)?)
    }
}
