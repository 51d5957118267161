mod control_note;
mod entry_life;
mod fleet_view;

pub use {control_note::ControlNote, entry_life::EntryLife, fleet_view::FleetView};
