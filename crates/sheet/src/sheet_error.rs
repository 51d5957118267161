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
