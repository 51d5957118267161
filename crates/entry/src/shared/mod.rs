mod control_note;
mod entry_life;
mod event_recorder;
mod fleet_view;

pub use {
    control_note::ControlNote,
    entry_life::EntryLife,
    event_recorder::{EventRecorder, wall_us},
    fleet_view::FleetView,
};
