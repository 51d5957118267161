use {
    crate::{PartText, SheetError},
    serde::de::DeserializeOwned,
    std::collections::BTreeMap,
    toml::de::{DeTable, ValueDeserializer},
};

/// Line of each key of a row whose value could be read.
pub(crate) type KeyLines = BTreeMap<&'static str, usize>;

/// Reads one row key by key, so that every error in the row is reported and not only the first.
pub(crate) struct RowReader<'p, 't> {
    part: &'p PartText<'t>,
    /// Path of the table, for instance `pipeline.stage`.
    path: String,
    /// Line at which the row starts.
    line: usize,
    /// Keys that have not been read yet.
    table: DeTable<'t>,
    known_keys: Vec<&'static str>,
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
            known_keys: Vec::new(),
            lines: KeyLines::new(),
            errors: Vec::new(),
        }
    }

    /// Reads a mandatory key. Returns the default after recording an error if the key is missing or
    /// its value is invalid; `hint` says what to write.
    pub(crate) fn required<T: DeserializeOwned + Default>(
        &mut self,
        key: &'static str,
        hint: &str,
    ) -> T {
        if !self.table.contains_key(key) {
            self.known_keys.push(key);
            self.push_error(self.line, key, format!("missing; write {hint}"));
            return T::default();
        }
        self.optional(key, hint).unwrap_or_default()
    }

    /// Reads an optional key. Returns `None` if the key is absent or, after recording an error, if
    /// its value is invalid.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        hint: &str,
    ) -> Option<T> {
        self.known_keys.push(key);
        let value = self.table.remove(key)?;
        let line = self.part.line_of(value.span().start);
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => {
                self.lines.insert(key, line);
                Some(value)
            }
            Err(error) => {
                let reason = error.message().replace('\n', ", ");
                self.push_error(line, key, format!("{reason}; write {hint}"));
                None
            }
        }
    }

    /// Returns readers for the rows of a list within this row.
    pub(crate) fn nested_rows(&mut self, key: &'static str) -> Vec<RowReader<'p, 't>> {
        self.known_keys.push(key);
        let path = format!("{}.{key}", self.path);
        self.part
            .take_rows(&mut self.table, &path, &mut self.errors)
    }

    /// Records an error at a key unless its value is valid or an error was recorded when it was
    /// read.
    pub(crate) fn check(&mut self, is_valid: bool, key: &'static str, message: impl Into<String>) {
        if is_valid {
            return;
        }
        if let Some(line) = self.lines.get(key) {
            self.push_error(*line, key, message.into());
        }
    }

    /// Records an error in the row as a whole.
    pub(crate) fn row_error(&mut self, key: &str, message: impl Into<String>) {
        self.push_error(self.line, key, message.into());
    }

    /// Ends the row: records an error for each key that was not read, moves all errors of the row
    /// to `errors` and returns the lines of its keys.
    pub(crate) fn finish(mut self, errors: &mut Vec<SheetError>) -> KeyLines {
        let known_keys = self.known_keys.join(", ");
        for (key, _) in std::mem::take(&mut self.table) {
            let line = self.part.line_of(key.span().start);
            let message = format!("unknown key; known keys are {known_keys}");
            self.push_error(line, key.get_ref(), message);
        }
        errors.append(&mut self.errors);
        self.lines
    }

    fn push_error(&mut self, line: usize, key: &str, message: String) {
        let key = format!("{}.{key}", self.path);
        self.errors.push(self.part.error(line, &key, message));
    }
}
