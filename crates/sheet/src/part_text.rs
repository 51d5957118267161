use {
    crate::{RowReader, SheetError},
    toml::de::{DeTable, DeValue},
};

/// Text of one part with the line positions that error messages need.
pub(crate) struct PartText<'t> {
    /// Key of the part.
    key: String,
    text: &'t str,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
}

impl<'t> PartText<'t> {
    pub(crate) fn new(key: impl Into<String>, text: &'t str) -> Self {
        let next_lines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            key: key.into(),
            text,
            line_starts: std::iter::once(0).chain(next_lines).collect(),
        }
    }

    /// Returns the line of a byte offset, from 1.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Creates an error in this part.
    pub(crate) fn error(&self, line: usize, key: &str, message: impl Into<String>) -> SheetError {
        SheetError::new(&self.key, line, key, message)
    }

    /// Parses the text as TOML; returns every syntax error.
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

    /// Removes a list of tables from the document, for instance all `[[target]]`, and returns a
    /// reader for each of them.
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
            errors.push(self.table_error(line, path));
            return Vec::new();
        };
        let mut readers = Vec::with_capacity(items.len());
        for item in items {
            let line = self.line_of(item.span().start);
            match item.into_inner() {
                DeValue::Table(row) => readers.push(RowReader::new(self, path, line, row)),
                _ => errors.push(self.table_error(line, path)),
            }
        }
        readers
    }

    fn table_error(&self, line: usize, path: &str) -> SheetError {
        let message = format!("must be a table; write [[{path}]] before each row");
        self.error(line, path, message)
    }

    fn syntax_error(&self, error: &toml::de::Error) -> SheetError {
        let line = error.span().map_or(0, |span| self.line_of(span.start));
        let line_text = self.text.lines().nth(line.saturating_sub(1)).unwrap_or("");
        let key = line_text.split('=').next().unwrap_or("").trim();
        let message = format!("not valid TOML: {}", error.message().replace('\n', ", "));
        self.error(line, key, message)
    }
}
