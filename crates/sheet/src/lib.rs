//! The sheet: what operators publish, how it is checked, and when it is put in force.

mod fleet_sheet;
mod part_text;
mod row_reader;
mod row_rules;
mod row_table;
mod sheet_draft;
mod sheet_error;
mod sheet_index;
mod sheet_part;

use {part_text::PartText, row_reader::RowReader};

pub use {
    fleet_sheet::FleetSheet,
    sheet_error::SheetError,
    sheet_index::{IndexPart, SheetIndex},
    sheet_part::{CustomerRow, PipelineRow, PoolKind, PoolRow, SheetPart, StageRow, TargetRow},
};
