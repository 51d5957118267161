//! The sheet is the configuration that operators publish for the whole fleet. This crate reads and
//! checks it, and decides on each daemon when a new sheet is put in force.

mod fetch_scheduler;
mod fleet_sheet;
mod host_rank;
mod part_text;
mod peer_registry;
mod report_history;
mod row_reader;
mod row_rules;
mod row_table;
mod sheet_action;
mod sheet_bundle;
mod sheet_draft;
mod sheet_error;
mod sheet_event;
mod sheet_index;
mod sheet_part;
mod sheet_trust;
mod sheet_updater;
mod startup_wait;
mod watch_assignment;

use {part_text::PartText, row_reader::RowReader};

pub use {
    fleet_sheet::FleetSheet,
    host_rank::HostRank,
    sheet_action::{SheetAction, SheetReport},
    sheet_bundle::SheetBundle,
    sheet_error::SheetError,
    sheet_event::{SheetEvent, SheetSource},
    sheet_index::{IndexPart, SheetIndex},
    sheet_part::{CustomerRow, PipelineRow, PoolKind, PoolRow, SheetPart, StageRow, TargetRow},
    sheet_updater::SheetUpdater,
    watch_assignment::WatchAssignment,
};
