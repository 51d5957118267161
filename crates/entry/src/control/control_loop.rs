use {
    crate::{
        EntrySettings,
        control::platform_client::PlatformClient,
        shared::{ControlNote, FleetView},
    },
    base::{HostList, HostState},
    sheet::{FleetSheet, SheetIndex},
    slog::{Logger, info, warn},
    std::sync::Arc,
    tokio::sync::{mpsc, watch},
};

/// Key of the sheet's index at the configuration service.
const INDEX_KEY: &str = "sheet/index";

/// What the controllers are started with.
pub struct ControlParts {
    pub settings: EntrySettings,
    pub view: watch::Sender<Arc<FleetView>>,
    pub notes: mpsc::UnboundedReceiver<ControlNote>,
    pub log: Logger,
}

/// Runs the controllers: reads the platform and publishes what the data path should know.
pub async fn run_control(mut parts: ControlParts) {
    let platform = &parts.settings.platform;
    let client = PlatformClient::new(platform.address, platform.read_time);
    let mut view = FleetView::default();
    loop {
        if let Some(list) = client.hosts().await {
            take_hosts(&mut view, list);
        }
        read_sheet(&client, &mut view, &parts.log).await;
        parts.view.send_replace(Arc::new(view.clone()));
        let note = actix_rt::time::timeout(platform.poll, parts.notes.recv()).await;
        if let Ok(Some(ControlNote::TargetLeaving(target))) = note {
            view.leaving_targets.insert(target);
        }
    }
}

fn take_hosts(view: &mut FleetView, list: HostList) {
    view.hosts = list
        .hosts
        .into_iter()
        .filter(|row| row.state == HostState::Live)
        .collect();
}

async fn read_sheet(client: &PlatformClient, view: &mut FleetView, log: &Logger) {
    let Some(text) = client.value(INDEX_KEY).await else {
        return;
    };
    let Ok(index) = toml::from_str::<SheetIndex>(&text) else {
        return;
    };
    if index.version <= view.version() {
        return;
    }
    let mut texts = Vec::new();
    for part in &index.part {
        let Some(text) = client.value(&part.key).await else {
            return;
        };
        texts.push(text);
    }
    match FleetSheet::assemble(index, &texts) {
        Ok(sheet) => {
            info!(log, "sheet in force"; "version" => sheet.version());
            view.sheet = Some(Arc::new(sheet));
        }
        Err(errors) => {
            for error in errors {
                warn!(log, "sheet refused"; "error" => error.to_string());
            }
        }
    }
}
