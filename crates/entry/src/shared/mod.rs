mod control_message;
mod entry_phase;
mod event_recorder;
mod fleet_view;
mod report_room;

pub use {
    control_message::ControlMessage,
    entry_phase::EntryPhase,
    event_recorder::{EventRecorder, wall_us},
    fleet_view::FleetView,
    report_room::{report_room, report_uploads},
};
