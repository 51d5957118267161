use {
    crate::{
        EntrySettings,
        control::SheetWord,
        shared::{EntryLife, EventRecorder, FleetView},
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
    pub words: mpsc::UnboundedSender<SheetWord>,
    pub draining: Notify,
}

impl ControlState {
    /// Changes the view and publishes it to the data path.
    pub fn change(&self, change: impl FnOnce(&mut FleetView)) {
        let mut view = self.view.borrow_mut();
        change(&mut view);
        self.published.send_replace(Arc::new(view.clone()));
    }

    /// Tells the sheet's controller what was heard.
    pub fn tell(&self, word: SheetWord) {
        let _ = self.words.send(word);
    }

    /// Begins the shutdown unless it has begun.
    pub fn drain(&self) {
        if self.view.borrow().life > EntryLife::Serving {
            return;
        }
        self.change(|view| view.life = EntryLife::Leaving);
        self.recorder.record(EventKind::Drain, |event| event);
        self.draining.notify_one();
    }
}
