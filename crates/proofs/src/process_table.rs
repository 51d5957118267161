use {
    crate::ChildProcess,
    std::{collections::BTreeMap, env, ffi::OsStr, fs, path::PathBuf, thread},
    tempfile::TempDir,
};

/// Variable that keeps the files of every test.
const KEEP_VARIABLE: &str = "CAMPHOR_KEEP_LOGS";

/// Processes of a fleet by name, and the folder of their files; kept if a test panics or
/// the variable `CAMPHOR_KEEP_LOGS` is set.
pub(crate) struct ProcessTable {
    processes: BTreeMap<String, ChildProcess>,
    folder: TempDir,
}

impl ProcessTable {
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            processes: BTreeMap::new(),
            folder: TempDir::new()?,
        })
    }

    /// Starts a program under a name.
    pub async fn start<Argument: AsRef<OsStr>>(
        &mut self,
        name: &str,
        program: &str,
        arguments: impl IntoIterator<Item = Argument>,
    ) -> anyhow::Result<&ChildProcess> {
        let log = self.log(name);
        let process = ChildProcess::start(program, arguments, &log).await?;
        self.processes.insert(name.to_string(), process);
        Ok(self.get(name))
    }

    /// Starts a stand-in under a name.
    pub async fn start_stand(&mut self, name: &str, arguments: &[&str]) -> anyhow::Result<()> {
        self.start(name, "camphor-stand", arguments).await?;
        Ok(())
    }

    /// Starts the proxy of a host or target, which carries nothing yet; returns its address.
    pub async fn start_proxy(&mut self, name: &str) -> anyhow::Result<String> {
        let name = Self::proxy_name(name);
        if !self.processes.contains_key(&name) {
            self.start_stand(&name, &["proxy", "--name", &name]).await?;
        }
        Ok(self.get(&name).address("proxy"))
    }

    /// Name of the proxy before a host or target.
    pub fn proxy_name(name: &str) -> String {
        format!("{name}-proxy")
    }

    /// Process of this name; panics if there is none.
    pub fn get(&self, name: &str) -> &ChildProcess {
        match self.processes.get(name) {
            Some(process) => process,
            None => panic!("nothing was started as `{name}`"),
        }
    }

    /// Like `get`, for changes.
    pub fn get_mut(&mut self, name: &str) -> &mut ChildProcess {
        match self.processes.get_mut(name) {
            Some(process) => process,
            None => panic!("nothing was started as `{name}`"),
        }
    }

    /// Kills the process of this name.
    pub fn remove(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Path of a file in the folder.
    pub fn path(&self, file: &str) -> PathBuf {
        self.folder.path().join(file)
    }

    /// Standard error of a process so far.
    pub fn log_text(&self, name: &str) -> String {
        fs::read_to_string(self.log(name)).unwrap_or_default()
    }

    fn log(&self, name: &str) -> PathBuf {
        self.path(&format!("{name}.log"))
    }
}

impl Drop for ProcessTable {
    fn drop(&mut self) {
        if thread::panicking() || env::var_os(KEEP_VARIABLE).is_some() {
            self.folder.disable_cleanup(true);
            eprintln!("logs are kept in {}", self.folder.path().display());
        }
    }
}
