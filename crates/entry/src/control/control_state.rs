use {
    crate::{
        EntrySettings,
        control::SheetNotice,
        shared::{EntryPhase, EventRecorder, FleetView},
    },
    base::Incarnation,
    setup::MetricRegistry,
    slog::Logger,
    stamp::EventKind,
    std::{cell::RefCell, sync::Arc},
    tokio::sync::{Notify, mpsc, watch},
};

/// State that all controllers share; they run on one thread.
pub struct ControlState {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    /// The view that was published last.
    pub view: RefCell<FleetView>,
    /// Sends each new view to the data path.
    pub view_sender: watch::Sender<Arc<FleetView>>,
    /// Sends notices to the sheet controller.
    pub sheet_notice_sender: mpsc::UnboundedSender<SheetNotice>,
    /// Notified when the shutdown starts, with the phase `Leaving`.
    pub shutdown_started: Notify,
}

impl ControlState {
    /// Changes the view and publishes it to the data path.
    pub fn update_view(&self, update: impl FnOnce(&mut FleetView)) {
        let mut view = self.view.borrow_mut();
        update(&mut view);
        self.view_sender.send_replace(Arc::new(view.clone()));
    }

    /// Sends a notice to the sheet controller.
    pub fn notify_sheet_controller(&self, notice: SheetNotice) {
        let _ = self.sheet_notice_sender.send(notice);
    }

    /// Starts the shutdown with its first phase, `Leaving`, unless it has started already.
    pub fn start_shutdown(&self) {
        if self.view.borrow().phase > EntryPhase::Serving {
            return;
        }
        self.update_view(|view| view.phase = EntryPhase::Leaving);
        self.recorder.record(EventKind::Drain, |event| event);
        self.shutdown_started.notify_one();
    }
}
