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

/// What the controllers share. All of it lives on their thread.
pub struct ControlState {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub view: RefCell<FleetView>,
    pub published: watch::Sender<Arc<FleetView>>,
    pub sheet_notices: mpsc::UnboundedSender<SheetNotice>,
    pub drain_started: Notify,
}

impl ControlState {
    /// Changes the view and publishes it to the data path.
    pub fn update_view(&self, update: impl FnOnce(&mut FleetView)) {
        let mut view = self.view.borrow_mut();
        update(&mut view);
        self.published.send_replace(Arc::new(view.clone()));
    }

    /// Tells the sheet's controller what was heard.
    pub fn notify_sheets(&self, notice: SheetNotice) {
        let _ = self.sheet_notices.send(notice);
    }

    /// Begins the shutdown unless it has begun.
    pub fn drain(&self) {
        if self.view.borrow().phase > EntryPhase::Serving {
            return;
        }
        self.update_view(|view| view.phase = EntryPhase::Leaving);
        self.recorder.record(EventKind::Drain, |event| event);
        self.drain_started.notify_one();
    }
}
