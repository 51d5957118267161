use std::path::Path;

/// An error in a workload file that parses but is inconsistent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkloadFault {
    /// Key with the wrong value, preceded by its table, such as `flow.pipeline`.
    pub key: String,
    /// Value in the file; may be empty.
    pub value: String,
    /// Message that says what is wrong and what is allowed.
    pub message: String,
}

impl WorkloadFault {
    /// Creates the fault of one value.
    pub fn new(key: impl Into<String>, value: impl ToString, message: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            message: message.into(),
        }
    }

    /// Renders the fault as one line that names file, line and key; `text` is the file's content.
    ///
    /// ```
    /// let fault = load::WorkloadFault::new("flow.pipeline", "hay", "no pipeline `hay`");
    /// let line = fault.to_line("work.toml".as_ref(), "[[flow]]\npipeline = \"hay\"\n");
    /// assert_eq!(line, "work.toml:2: `flow.pipeline`: no pipeline `hay`");
    /// ```
    pub fn to_line(&self, path: &Path, text: &str) -> String {
        let line = self.line_number(text);
        format!(
            "{}:{line}: `{}`: {}",
            path.display(),
            self.key,
            self.message
        )
    }

    /// Returns the number, from 1, of the last line with both key and value, or else of the last
    /// line with the key; 0 if there is none.
    fn line_number(&self, text: &str) -> usize {
        let key = self.key.rsplit('.').next().unwrap_or_default();
        let has_key = |line: &&str| line.contains(key) && line.contains('=');
        let lines: Vec<&str> = text.lines().collect();
        let exact = lines
            .iter()
            .rposition(|line| has_key(line) && line.contains(&self.value));
        let found = exact.or_else(|| lines.iter().rposition(has_key));
        found.map_or(0, |index| index + 1)
    }
}
