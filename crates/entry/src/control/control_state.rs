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
    pub published: watch::Sender<Arc<FleetView>>,
    /// Queue of the sheet controller.
    pub sheet_notices: mpsc::UnboundedSender<SheetNotice>,
    /// Notified when the shutdown starts.
    pub drain_started: Notify,
}

impl ControlState {
    /// Changes the view and publishes it to the data path.
    pub fn update_view(&self, update: impl FnOnce(&mut FleetView)) {
        let mut view = self.view.borrow_mut();
        update(&mut view);
        self.published.send_replace(Arc::new(view.clone()));
    }

    /// Sends a notice to the sheet controller.
    pub fn notify_sheets(&self, notice: SheetNotice) {
        let _ = self.sheet_notices.send(notice);
    }

    /// Starts the shutdown unless it has started already.
    pub fn drain(&self) {
        if self.view.borrow().phase > EntryPhase::Serving {
            return;
        }
        self.update_view(|view| view.phase = EntryPhase::Leaving);
        self.recorder.record(EventKind::Drain, |event| event);
        self.drain_started.notify_one();
    }
}
