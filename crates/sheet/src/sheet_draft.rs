use {
    crate::{
        CustomerRow, PartText, PipelineRow, PoolKind, PoolRow, SheetError, TargetRow,
        row_rules::{read_customer, read_pipeline, read_pool, read_target},
        row_table::{RowTable, TableRow},
    },
    std::collections::HashSet,
};

/// Tables that a part may hold.
const TABLE_NAMES: &str = "pipeline, customer, pool, target";

/// Rows of all parts, whose references to each other are not checked yet.
pub(crate) struct SheetDraft {
    pub(crate) pipelines: RowTable<PipelineRow>,
    pub(crate) customers: RowTable<CustomerRow>,
    pub(crate) pools: RowTable<PoolRow>,
    pub(crate) targets: RowTable<TargetRow>,
    pub(crate) errors: Vec<SheetError>,
}

impl SheetDraft {
    pub(crate) fn new() -> Self {
        Self {
            pipelines: RowTable::new("pipeline"),
            customers: RowTable::new("customer"),
            pools: RowTable::new("pool"),
            targets: RowTable::new("target"),
            errors: Vec::new(),
        }
    }

    /// Reads the rows of one part; returns false if the text is not valid TOML.
    pub(crate) fn read_part(&mut self, key: &str, text: &str) -> bool {
        let part = PartText::new(key, text);
        let errors = &mut self.errors;
        let mut table = match part.parse() {
            Ok(table) => table,
            Err(syntax_errors) => {
                errors.extend(syntax_errors);
                return false;
            }
        };
        for reader in part.take_rows(&mut table, "pipeline", errors) {
            let read = read_pipeline(reader, errors);
            self.pipelines.add(key, read, errors);
        }
        for reader in part.take_rows(&mut table, "customer", errors) {
            let read = read_customer(reader, errors);
            self.customers.add(key, read, errors);
        }
        for reader in part.take_rows(&mut table, "pool", errors) {
            let read = read_pool(reader, errors);
            self.pools.add(key, read, errors);
        }
        for reader in part.take_rows(&mut table, "target", errors) {
            let read = read_target(reader, errors);
            self.targets.add(key, read, errors);
        }
        for (name, _) in table {
            let line = part.line_of(name.span().start);
            let message = format!("unknown key; known keys are {TABLE_NAMES}");
            errors.push(part.error(line, name.get_ref(), message));
        }
        true
    }

    /// Checks the references between the rows of all parts.
    pub(crate) fn check_references(&mut self) {
        let mut errors = Vec::new();
        self.check_stages(&mut errors);
        self.check_pools(&mut errors);
        self.check_targets(&mut errors);
        self.errors.append(&mut errors);
    }

    fn check_stages(&self, errors: &mut Vec<SheetError>) {
        for row in &self.pipelines.rows {
            for (stage, lines) in row.read.row.stage.iter().zip(&row.read.stage_lines) {
                let Some(line) = lines.get("pool") else {
                    continue;
                };
                match self.pools.find(&stage.pool) {
                    None => errors.push(unknown_pool_error(
                        row,
                        *line,
                        "pipeline.stage.pool",
                        &stage.pool,
                    )),
                    Some(pool) if stage.model.is_some() && is_plain(pool) => {
                        let line = lines.get("model").copied().unwrap_or(*line);
                        errors.push(plain_pool_error(
                            row,
                            line,
                            "pipeline.stage.model",
                            &stage.pool,
                        ));
                    }
                    Some(_) => {}
                }
            }
        }
    }

    fn check_targets(&self, errors: &mut Vec<SheetError>) {
        for row in &self.targets.rows {
            let target = &row.read.row;
            let Some(line) = row.read.lines.get("pool") else {
                continue;
            };
            match self.pools.find(&target.pool) {
                None => errors.push(unknown_pool_error(row, *line, "target.pool", &target.pool)),
                Some(pool) if !target.models.is_empty() && is_plain(pool) => {
                    let line = row.read.lines.get("models").copied().unwrap_or(*line);
                    errors.push(plain_pool_error(row, line, "target.models", &target.pool));
                }
                Some(_) => {}
            }
        }
    }

    fn check_pools(&self, errors: &mut Vec<SheetError>) {
        let served_pools: HashSet<&str> = self.targets.rows.iter().map(pool_of_target).collect();
        let stages = self
            .pipelines
            .rows
            .iter()
            .flat_map(|row| &row.read.row.stage);
        let calls: HashSet<(&str, &str)> = stages
            .map(|stage| (stage.pool.as_str(), stage.call.as_str()))
            .collect();
        for row in &self.pools.rows {
            let name = row.read.name.as_str();
            let name_line = row.read.lines.get("name").copied();
            if let Some(line) = name_line.filter(|_| !served_pools.contains(name)) {
                let message = format!("`{name}` has no target; add a [[target]] with this pool");
                errors.push(row.error(line, "pool.name", message));
            }
            let Some(line) = row.read.lines.get("non_idempotent") else {
                continue;
            };
            for call in &row.read.row.non_idempotent {
                if !calls.contains(&(name, call.as_str())) {
                    let message = format!(
                        "no stage makes call `{call}` at this pool; write one that a stage makes"
                    );
                    errors.push(row.error(*line, "pool.non_idempotent", message));
                }
            }
        }
    }
}

fn pool_of_target(row: &TableRow<TargetRow>) -> &str {
    &row.read.row.pool
}

/// Returns true if the row states that the pool is plain. `PoolKind::Plain` alone does not show it,
/// since it is also the default of a row whose kind could not be read.
fn is_plain(row: &TableRow<PoolRow>) -> bool {
    row.read.lines.contains_key("kind") && row.read.row.kind == PoolKind::Plain
}

fn unknown_pool_error<Row>(row: &TableRow<Row>, line: usize, key: &str, pool: &str) -> SheetError {
    let message = format!("no pool is named `{pool}`; write the name of a [[pool]]");
    row.error(line, key, message)
}

fn plain_pool_error<Row>(row: &TableRow<Row>, line: usize, key: &str, pool: &str) -> SheetError {
    let message = format!("pool `{pool}` is plain and answers with no model; leave the key out");
    row.error(line, key, message)
}
