use {
    setup::{ReadyLine, StartError},
    std::{collections::BTreeMap, fs, path::Path},
};

/// Listen addresses of an experiment's processes, from the ready lines that they printed.
///
/// ```
/// let line = r#"{"program":"camphor-stand","name":"l1","addresses":{"calls":"127.0.0.1:9"}}"#;
/// let registry = load::ProcessRegistry::parse(line);
/// assert_eq!(registry.address("l1", "calls"), Some("127.0.0.1:9"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessRegistry {
    lines: BTreeMap<String, ReadyLine>,
}

impl ProcessRegistry {
    /// Parses the ready lines of a text and skips all other lines. The last line of a name wins.
    pub fn parse(text: &str) -> Self {
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str::<ReadyLine>(line).ok());
        Self {
            lines: lines.map(|line| (line.name.clone(), line)).collect(),
        }
    }

    /// Reads ready lines from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StartError> {
        let path = path.as_ref();
        let text = fs::read_to_string(path)
            .map_err(|error| StartError::Settings(format!("{}: {error}", path.display())))?;
        Ok(Self::parse(&text))
    }

    /// Returns the address of a process for one role, such as `calls`.
    pub fn address(&self, name: &str, role: &str) -> Option<&str> {
        self.lines
            .get(name)?
            .addresses
            .get(role)
            .map(String::as_str)
    }
}
