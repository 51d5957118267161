//! The sheet: what operators publish, how it is checked, and when it is put in force.

mod fleet_sheet;
mod host_rank;
mod part_text;
mod peer_book;
mod report_book;
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
mod sheet_standing;
mod sheet_updater;
mod source_plan;
mod start_watch;
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
