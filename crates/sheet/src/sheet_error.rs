use std::fmt;

/// One fault of a sheet, placed so that an operator finds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetError {
    /// Key of the part, or `index`.
    pub part: String,
    /// Line in the part, from 1; 0 where no line applies.
    pub line: usize,
    /// Key in the part, for instance `target.capacity`.
    pub key: String,
    /// What is wrong and what would be right.
    pub message: String,
}

impl SheetError {
    /// A fault at a line of a part.
    ///
    /// ```
    /// let error = sheet::SheetError::new("fleet", 3, "target.capacity", "is zero");
    /// assert_eq!(error.to_string(), "fleet:3: target.capacity: is zero");
    /// ```
    pub fn new(
        part: impl Into<String>,
        line: usize,
        key: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            part: part.into(),
            line,
            key: key.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for SheetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: {}: {}",
            self.part, self.line, self.key, self.message
        )
    }
}

impl std::error::Error for SheetError {}
