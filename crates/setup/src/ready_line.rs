use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io::{self, Write},
    },
};

/// First line that a program prints on standard output: a JSON object with the addresses on which it
/// listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Name of the program.
    pub program: String,
    /// Name of the process, for instance its host or target.
    pub name: String,
    /// Addresses in the form `ip:port`, by role.
    pub addresses: BTreeMap<String, String>,
}

impl ReadyLine {
    /// Creates a line without addresses.
    ///
    /// ```
    /// let line = setup::ReadyLine::new("camphor-entry", "h1").with_address("callers", "127.0.0.1:80");
    /// assert_eq!(line.addresses["callers"], "127.0.0.1:80");
    /// ```
    pub fn new(program: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            program: program.into(),
            name: name.into(),
            addresses: BTreeMap::new(),
        }
    }

    /// Adds an address under a role, for instance `callers`.
    pub fn with_address(mut self, role: impl Into<String>, address: impl ToString) -> Self {
        self.addresses.insert(role.into(), address.to_string());
        self
    }

    /// Prints the line on standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if standard output is closed.
    pub fn print(&self) -> io::Result<()> {
        let mut output = io::stdout().lock();
        serde_json::to_writer(&mut output, self)?;
        output.write_all(b"\n")?;
        output.flush()
    }
}
