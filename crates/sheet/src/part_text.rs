use {
    crate::{RowReader, SheetError},
    toml::de::{DeTable, DeValue},
};

/// Text of one part with what is needed to place a fault in it.
pub(crate) struct PartText<'t> {
    key: String,
    text: &'t str,
    line_starts: Vec<usize>,
}

impl<'t> PartText<'t> {
    pub(crate) fn new(key: impl Into<String>, text: &'t str) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            key: key.into(),
            text,
            line_starts: std::iter::once(0).chain(breaks).collect(),
        }
    }

    /// Line of a byte offset, from 1.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// A fault of this part.
    pub(crate) fn error(&self, line: usize, key: &str, message: impl Into<String>) -> SheetError {
        SheetError::new(&self.key, line, key, message)
    }

    /// Parses the text as TOML and gives every fault of syntax.
    pub(crate) fn parse(&self) -> Result<DeTable<'t>, Vec<SheetError>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        if errors.is_empty() {
            return Ok(table.into_inner());
        }
        Err(errors
            .iter()
            .map(|error| self.syntax_error(error))
            .collect())
    }

    /// Takes one list of tables out of the document, for instance all `[[target]]`.
    pub(crate) fn take_rows<'p>(
        &'p self,
        table: &mut DeTable<'t>,
        path: &str,
        errors: &mut Vec<SheetError>,
    ) -> Vec<RowReader<'p, 't>> {
        let name = path.rsplit('.').next().unwrap_or(path);
        let Some(value) = table.remove(name) else {
            return Vec::new();
        };
        let line = self.line_of(value.span().start);
        let DeValue::Array(items) = value.into_inner() else {
            errors.push(self.not_a_table(line, path));
            return Vec::new();
        };
        let mut readers = Vec::with_capacity(items.len());
        for item in items {
            let line = self.line_of(item.span().start);
            match item.into_inner() {
                DeValue::Table(row) => readers.push(RowReader::new(self, path, line, row)),
                _ => errors.push(self.not_a_table(line, path)),
            }
        }
        readers
    }

    fn not_a_table(&self, line: usize, path: &str) -> SheetError {
        let message = format!("must be a table; write [[{path}]] before each row");
        self.error(line, path, message)
    }

    fn syntax_error(&self, error: &toml::de::Error) -> SheetError {
        let line = error.span().map_or(0, |span| self.line_of(span.start));
        let row = self.text.lines().nth(line.saturating_sub(1)).unwrap_or("");
        let key = row.split('=').next().unwrap_or("").trim();
        let message = format!("not valid TOML: {}", error.message().replace('\n', ", "));
        self.error(line, key, message)
    }
}
