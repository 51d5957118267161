use {
    crate::{SheetError, row_rules::ReadRow},
    std::collections::{BTreeMap, HashMap},
};

/// A row with the part that it comes from.
pub(crate) struct TableRow<Row> {
    /// Key of the part.
    pub(crate) part: String,
    pub(crate) read: ReadRow<Row>,
}

impl<Row> TableRow<Row> {
    /// Creates an error at one key of the row.
    pub(crate) fn error(&self, line: usize, key: &str, message: impl Into<String>) -> SheetError {
        SheetError::new(&self.part, line, key, message)
    }
}

/// Rows of one kind from all parts.
pub(crate) struct RowTable<Row> {
    /// Name of the rows' table, for instance `target`.
    kind: &'static str,
    pub(crate) rows: Vec<TableRow<Row>>,
    /// Index in `rows` of the first row of each name.
    names: HashMap<String, usize>,
}

impl<Row> RowTable<Row> {
    pub(crate) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            rows: Vec::new(),
            names: HashMap::new(),
        }
    }

    /// Adds a row; records an error if an earlier row has the same name.
    pub(crate) fn add(&mut self, part: &str, read: ReadRow<Row>, errors: &mut Vec<SheetError>) {
        let line = read.lines.get("name").copied();
        let row = TableRow {
            part: part.to_string(),
            read,
        };
        if let Some(line) = line {
            match self.find(&row.read.name) {
                Some(first) => errors.push(self.duplicate_error(&row, line, first)),
                None => {
                    self.names.insert(row.read.name.clone(), self.rows.len());
                }
            }
        }
        self.rows.push(row);
    }

    /// Returns the first row with this name.
    pub(crate) fn find(&self, name: &str) -> Option<&TableRow<Row>> {
        self.names.get(name).map(|index| &self.rows[*index])
    }

    /// Returns the rows by name.
    pub(crate) fn into_map(self) -> BTreeMap<String, Row> {
        let rows = self.rows.into_iter();
        rows.map(|row| (row.read.name, row.read.row)).collect()
    }

    fn duplicate_error(
        &self,
        row: &TableRow<Row>,
        line: usize,
        first: &TableRow<Row>,
    ) -> SheetError {
        let kind = self.kind;
        let name = &row.read.name;
        let first_line = first.read.lines.get("name").copied().unwrap_or_default();
        let message = format!(
            "a {kind} in {}:{first_line} is named `{name}` already; give each its own name",
            first.part
        );
        row.error(line, &format!("{kind}.name"), message)
    }
}
