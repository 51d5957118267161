use {
    crate::{PartText, SheetError},
    serde::de::DeserializeOwned,
    std::collections::BTreeMap,
    toml::de::{DeTable, ValueDeserializer},
};

/// Lines of the keys of one row that could be read.
pub(crate) type KeyLines = BTreeMap<&'static str, usize>;

/// Reads one row key by key, so that every fault of the row is found and not only the first.
pub(crate) struct RowReader<'p, 't> {
    part: &'p PartText<'t>,
    path: String,
    line: usize,
    table: DeTable<'t>,
    known: Vec<&'static str>,
    lines: KeyLines,
    errors: Vec<SheetError>,
}

impl<'p, 't> RowReader<'p, 't> {
    pub(crate) fn new(
        part: &'p PartText<'t>,
        path: impl Into<String>,
        line: usize,
        table: DeTable<'t>,
    ) -> Self {
        Self {
            part,
            path: path.into(),
            line,
            table,
            known: Vec::new(),
            lines: KeyLines::new(),
            errors: Vec::new(),
        }
    }

    /// Value of a key that must be there; a default stands in for one with a fault.
    pub(crate) fn required<T: DeserializeOwned + Default>(
        &mut self,
        key: &'static str,
        wanted: &str,
    ) -> T {
        if !self.table.contains_key(key) {
            self.known.push(key);
            self.push(self.line, key, format!("missing; write {wanted}"));
            return T::default();
        }
        self.optional(key, wanted).unwrap_or_default()
    }

    /// Value of a key that may be absent.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        wanted: &str,
    ) -> Option<T> {
        self.known.push(key);
        let value = self.table.remove(key)?;
        let line = self.part.line_of(value.span().start);
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => {
                self.lines.insert(key, line);
                Some(value)
            }
            Err(error) => {
                let reason = error.message().replace('\n', ", ");
                self.push(line, key, format!("{reason}; write {wanted}"));
                None
            }
        }
    }

    /// Rows of a list within this row.
    pub(crate) fn rows(&mut self, key: &'static str) -> Vec<RowReader<'p, 't>> {
        self.known.push(key);
        let path = format!("{}.{key}", self.path);
        self.part
            .take_rows(&mut self.table, &path, &mut self.errors)
    }

    /// Records a fault of a key unless an earlier fault left it without a value.
    pub(crate) fn check(&mut self, holds: bool, key: &'static str, message: impl Into<String>) {
        if holds {
            return;
        }
        if let Some(line) = self.lines.get(key) {
            self.push(*line, key, message.into());
        }
    }

    /// Records a fault of the row as a whole.
    pub(crate) fn row_fault(&mut self, key: &str, message: impl Into<String>) {
        self.push(self.line, key, message.into());
    }

    /// Ends the row: lines of its keys, after each key that is left over was recorded.
    pub(crate) fn finish(mut self, errors: &mut Vec<SheetError>) -> KeyLines {
        let known = self.known.join(", ");
        for (key, _) in std::mem::take(&mut self.table) {
            let line = self.part.line_of(key.span().start);
            let message = format!("unknown key; known are {known}");
            self.push(line, key.get_ref(), message);
        }
        errors.append(&mut self.errors);
        self.lines
    }

    fn push(&mut self, line: usize, key: &str, message: String) {
        let key = format!("{}.{key}", self.path);
        self.errors.push(self.part.error(line, &key, message));
    }
}
