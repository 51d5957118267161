use {
    crate::{
        CustomerRow, PipelineRow, PoolKind, PoolRow, RowReader, SheetError, StageRow, TargetRow,
        row_reader::KeyLines,
    },
    humantime_serde::Serde,
    std::{net::SocketAddr, time::Duration},
};

/// Longest name that a row may have, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Largest number of stages of a pipeline.
const MAX_STAGES: usize = 6;
/// Hexadecimal digits of a BLAKE3 digest.
const DIGEST_DIGITS: usize = 64;

/// Hint for a time value.
const TIME_HINT: &str = "a time above zero such as \"300ms\"";
/// Hint for a count.
const COUNT_HINT: &str = "a whole number above zero";
/// Hint for a list of models.
const MODELS_HINT: &str = "a list of models such as [\"reader@3\"]";

/// One row with the lines of its keys, and for a pipeline also those of its stages.
pub(crate) struct ReadRow<Row> {
    pub(crate) name: String,
    pub(crate) row: Row,
    pub(crate) lines: KeyLines,
    pub(crate) stage_lines: Vec<KeyLines>,
}

impl<Row> ReadRow<Row> {
    /// Creates a row without stages.
    fn new(name: String, row: Row, lines: KeyLines) -> Self {
        Self {
            name,
            row,
            lines,
            stage_lines: Vec::new(),
        }
    }
}

/// Reads and checks a pipeline.
pub(crate) fn read_pipeline(
    mut reader: RowReader<'_, '_>,
    errors: &mut Vec<SheetError>,
) -> ReadRow<PipelineRow> {
    let name = read_name(&mut reader, "name");
    let deadline = read_time(&mut reader, "deadline");
    let mut stage = Vec::new();
    let mut stage_lines = Vec::new();
    for stage_reader in reader.nested_rows("stage") {
        let (row, lines) = read_stage(stage_reader, errors);
        stage.push(row);
        stage_lines.push(lines);
    }
    if stage.is_empty() || stage.len() > MAX_STAGES {
        let message = format!("{} stages; a pipeline has 1 to {MAX_STAGES}", stage.len());
        reader.row_error("stage", message);
    }
    let expected: Duration = stage.iter().map(|row: &StageRow| row.expected).sum();
    let message = format!("{deadline:?} is shorter than its stages' expected times, {expected:?}");
    reader.check(expected <= deadline, "deadline", message);
    let lines = reader.finish(errors);
    ReadRow {
        name: name.clone(),
        row: PipelineRow {
            name,
            deadline,
            stage,
        },
        lines,
        stage_lines,
    }
}

fn read_stage(mut reader: RowReader<'_, '_>, errors: &mut Vec<SheetError>) -> (StageRow, KeyLines) {
    let row = StageRow {
        pool: reader.required("pool", "the name of a pool"),
        call: read_name(&mut reader, "call"),
        model: reader.optional("model", "the name of a model"),
        expected: read_time(&mut reader, "expected"),
    };
    (row, reader.finish(errors))
}

/// Reads and checks a customer.
pub(crate) fn read_customer(
    mut reader: RowReader<'_, '_>,
    errors: &mut Vec<SheetError>,
) -> ReadRow<CustomerRow> {
    let row = CustomerRow {
        name: read_name(&mut reader, "name"),
        weight: read_count(&mut reader, "weight"),
        priority: reader
            .optional("priority", "\"urgent\", \"normal\" or \"bulk\"")
            .unwrap_or_default(),
        credential: reader.required("credential", "64 hexadecimal digits"),
        entries: reader.optional("entries", COUNT_HINT),
    };
    let message = "not a BLAKE3 digest; write 64 lower-case hexadecimal digits";
    reader.check(is_digest(&row.credential), "credential", message);
    let message = format!("is zero; write {COUNT_HINT}");
    reader.check(row.entries != Some(0), "entries", message);
    let name = row.name.clone();
    ReadRow::new(name, row, reader.finish(errors))
}

/// Reads and checks a pool.
pub(crate) fn read_pool(
    mut reader: RowReader<'_, '_>,
    errors: &mut Vec<SheetError>,
) -> ReadRow<PoolRow> {
    let name = read_name(&mut reader, "name");
    let kind: Option<PoolKind> = reader.required("kind", "\"engine\" or \"plain\"");
    let non_idempotent = reader
        .optional("non_idempotent", "a list of kinds of call")
        .unwrap_or_default();
    let row = PoolRow {
        name,
        kind: kind.unwrap_or(PoolKind::Plain),
        non_idempotent,
    };
    let name = row.name.clone();
    ReadRow::new(name, row, reader.finish(errors))
}

/// Reads and checks a target.
pub(crate) fn read_target(
    mut reader: RowReader<'_, '_>,
    errors: &mut Vec<SheetError>,
) -> ReadRow<TargetRow> {
    let row = TargetRow {
        name: read_name(&mut reader, "name"),
        pool: reader.required("pool", "the name of a pool"),
        data_centre: read_name(&mut reader, "data_centre"),
        address: reader.required("address", "an address as ip:port"),
        capacity: read_count(&mut reader, "capacity"),
        leaving: read_flag(&mut reader, "leaving"),
        models: reader.optional("models", MODELS_HINT).unwrap_or_default(),
        checks_orders: read_flag(&mut reader, "checks_orders"),
    };
    let address = row.address.parse::<SocketAddr>();
    let is_usable = address.is_ok_and(|address| address.port() != 0);
    let message = format!("`{}` is not an address; write ip:port", row.address);
    reader.check(is_usable, "address", message);
    let name = row.name.clone();
    ReadRow::new(name, row, reader.finish(errors))
}

/// Reads a name. Names are limited to visible ASCII because they are used in headers and paths.
fn read_name(reader: &mut RowReader<'_, '_>, key: &'static str) -> String {
    let name: String = reader.required(key, "a name");
    let has_length = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let is_valid = has_length && name.bytes().all(|byte| byte.is_ascii_graphic());
    let message = format!("write 1 to {MAX_NAME_BYTES} visible ASCII characters without spaces");
    reader.check(is_valid, key, message);
    name
}

fn read_count(reader: &mut RowReader<'_, '_>, key: &'static str) -> u32 {
    let count = reader.required(key, COUNT_HINT);
    reader.check(count > 0, key, format!("is zero; write {COUNT_HINT}"));
    count
}

fn read_time(reader: &mut RowReader<'_, '_>, key: &'static str) -> Duration {
    let time: Option<Serde<Duration>> = reader.required(key, TIME_HINT);
    let time = time.map(Serde::into_inner).unwrap_or_default();
    reader.check(!time.is_zero(), key, format!("is zero; write {TIME_HINT}"));
    time
}

fn read_flag(reader: &mut RowReader<'_, '_>, key: &'static str) -> bool {
    reader.optional(key, "true or false").unwrap_or_default()
}

fn is_digest(text: &str) -> bool {
    let mut digits = text.bytes();
    text.len() == DIGEST_DIGITS && digits.all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
