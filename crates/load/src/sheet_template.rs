use {
    crate::{ProcessRegistry, TopologyFile},
    base::{HostList, HostRow, HostState},
    setup::StartError,
    sheet::SheetPart,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// A sheet as it is checked in, with placeholder addresses: those of the targets are known only
/// once they run.
///
/// ```
/// let part = "[[target]]\nname = \"l1\"\npool = \"l\"\ndata_centre = \"n\"\n\
///     address = \"127.0.0.1:1\"\ncapacity = 2\n";
/// let template = load::SheetTemplate::parse("part.toml", part).unwrap();
/// let line = r#"{"program":"camphor-stand","name":"l1","addresses":{"calls":"127.0.0.1:9"}}"#;
/// let parts = template.fill(&load::ProcessRegistry::parse(line)).unwrap();
/// assert!(parts[0].contains("127.0.0.1:9"));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SheetTemplate {
    parts: Vec<SheetPart>,
}

impl SheetTemplate {
    /// Reads each `.toml` file of a directory as one part, in the order of the file names.
    ///
    /// # Errors
    ///
    /// Fails if the directory or a file cannot be read, or a file is wrong; then names file, line
    /// and key.
    pub fn load(directory: impl AsRef<Path>) -> Result<Self, StartError> {
        let directory = directory.as_ref();
        let read_error = |error| StartError::Settings(format!("{}: {error}", directory.display()));
        let entries = fs::read_dir(directory).map_err(read_error)?;
        let mut paths: Vec<PathBuf> = entries
            .filter_map(|entry| entry.ok().map(|entry| entry.path()))
            .filter(|path| path.extension().is_some_and(|kind| kind == "toml"))
            .collect();
        paths.sort();
        let parts = paths.iter().map(setup::load_settings::<SheetPart>);
        Ok(Self {
            parts: parts.collect::<Result<_, _>>()?,
        })
    }

    /// Parses one part; `name` is used in error messages.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid part.
    pub fn parse(name: &str, text: &str) -> Result<Self, StartError> {
        let part = toml::from_str(text)
            .map_err(|error| StartError::Settings(format!("{name}: {}", error.message())))?;
        Ok(Self { parts: vec![part] })
    }

    /// Returns the TOML text of each part, with the addresses at which the targets listen.
    ///
    /// # Errors
    ///
    /// Fails if a target has no ready line with a `calls` address, and names it.
    pub fn fill(&self, registry: &ProcessRegistry) -> anyhow::Result<Vec<String>> {
        let fill_part = |part: &SheetPart| {
            let mut part = part.clone();
            for target in &mut part.target {
                let address = registry.address(&target.name, "calls");
                let missing_error = || {
                    anyhow::anyhow!(
                        "no ready line with a `calls` address for target `{}`",
                        target.name
                    )
                };
                target.address = address.ok_or_else(missing_error)?.to_string();
            }
            Ok(toml::to_string(&part)?)
        };
        self.parts.iter().map(fill_part).collect()
    }
}

impl TopologyFile {
    /// Returns the host list of the topology's entries, with the addresses at which they listen.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no ready line with both addresses, and names it.
    pub fn host_list(&self, registry: &ProcessRegistry) -> anyhow::Result<HostList> {
        let row = |entry: &crate::EntrySpec| {
            let address = |role: &str| {
                let found = registry.address(&entry.host, role).map(String::from);
                let missing_error = || {
                    anyhow::anyhow!(
                        "no ready line with a `{role}` address for entry `{}`",
                        entry.host
                    )
                };
                found.ok_or_else(missing_error)
            };
            Ok(HostRow {
                host: entry.host.clone(),
                data_centre: entry.data_centre.clone(),
                callers: address("callers")?,
                peers: address("peers")?,
                size: entry.size,
                state: HostState::Live,
            })
        };
        let hosts: anyhow::Result<Vec<HostRow>> = self.entry.iter().map(row).collect();
        Ok(HostList {
            hosts: hosts?,
            targets: Vec::new(),
        })
    }
}
