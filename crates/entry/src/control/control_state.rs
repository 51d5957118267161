use {
    crate::{
        EntrySettings,
        shared::{EntryLife, EventRecorder, FleetView},
    },
    base::Incarnation,
    setup::MetricBoard,
    slog::Logger,
    stamp::EventKind,
    std::{cell::RefCell, sync::Arc},
    tokio::sync::watch,
};

/// What the controllers own. All of it lives on their thread.
pub struct ControlState {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    pub metrics: MetricBoard,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub view: RefCell<FleetView>,
    pub texts: RefCell<Vec<String>>,
    pub published: watch::Sender<Arc<FleetView>>,
}

impl ControlState {
    /// Changes the view and publishes it to the data path.
    pub fn change(&self, change: impl FnOnce(&mut FleetView)) {
        let mut view = self.view.borrow_mut();
        change(&mut view);
        self.published.send_replace(Arc::new(view.clone()));
    }

    /// Begins the shutdown unless it has begun.
    pub fn drain(&self) {
        self.change(|view| view.life = view.life.max(EntryLife::Leaving));
        self.recorder.record(EventKind::Drain, |event| event);
    }

    /// Takes an operator's word that a target is leaving, or is live again.
    pub fn mark_target(&self, target: &str, leaving: bool) {
        self.change(|view| {
            if leaving {
                view.leaving_targets.insert(target.to_string());
            } else {
                view.leaving_targets.remove(target);
            }
        });
    }
}
