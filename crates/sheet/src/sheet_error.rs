use std::fmt;

/// An error in a sheet, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetError {
    /// Key of the part that has the error, or `index`.
    pub part: String,
    /// Line in the part, from 1; 0 if no line applies.
    pub line: usize,
    /// Key within the part, for instance `target.capacity`.
    pub key: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl SheetError {
    /// Creates an error at a line of a part.
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
