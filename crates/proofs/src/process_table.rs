use {
    crate::ChildProcess,
    std::{collections::BTreeMap, env, ffi::OsStr, fs, path::PathBuf, thread},
    tempfile::TempDir,
};

/// Environment variable that, if set, keeps the folder of each fleet after its test.
const KEEP_LOGS_VARIABLE: &str = "CAMPHOR_KEEP_LOGS";

/// Processes of a fleet by name, and the folder of their logs, settings and journals. The folder is
/// kept if the test panics or the environment variable `CAMPHOR_KEEP_LOGS` is set.
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
        let log = self.log_path(name);
        let process = ChildProcess::start(program, arguments, &log).await?;
        self.processes.insert(name.to_string(), process);
        Ok(self.get(name))
    }

    /// Starts a stand-in for a target, proxy or platform under a name.
    pub async fn start_stand_in(&mut self, name: &str, arguments: &[&str]) -> anyhow::Result<()> {
        self.start(name, "camphor-stand", arguments).await?;
        Ok(())
    }

    /// Starts the proxy of a host or target unless it runs already; returns its address. A new
    /// proxy has no destination yet.
    pub async fn start_proxy(&mut self, name: &str) -> anyhow::Result<String> {
        let name = Self::proxy_name(name);
        if !self.processes.contains_key(&name) {
            self.start_stand_in(&name, &["proxy", "--name", &name])
                .await?;
        }
        Ok(self.get(&name).address("proxy"))
    }

    /// Returns the name of the proxy in front of a host or target.
    pub fn proxy_name(name: &str) -> String {
        format!("{name}-proxy")
    }

    /// Returns the process of this name; panics if there is none.
    pub fn get(&self, name: &str) -> &ChildProcess {
        match self.processes.get(name) {
            Some(process) => process,
            None => panic!("no process was started under the name `{name}`"),
        }
    }

    /// Returns the process of this name mutably; panics if there is none.
    pub fn get_mut(&mut self, name: &str) -> &mut ChildProcess {
        match self.processes.get_mut(name) {
            Some(process) => process,
            None => panic!("no process was started under the name `{name}`"),
        }
    }

    /// Removes the process of this name, which kills it.
    pub fn remove(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Returns the path of a file in the fleet's folder.
    pub fn path(&self, file: &str) -> PathBuf {
        self.folder.path().join(file)
    }

    /// Returns what a process has written to standard error so far; empty if it has no log.
    pub fn log_text(&self, name: &str) -> String {
        fs::read_to_string(self.log_path(name)).unwrap_or_default()
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.path(&format!("{name}.log"))
    }
}

impl Drop for ProcessTable {
    fn drop(&mut self) {
        if thread::panicking() || env::var_os(KEEP_LOGS_VARIABLE).is_some() {
            self.folder.disable_cleanup(true);
            eprintln!(
                "logs of the fleet are kept in {}",
                self.folder.path().display()
            );
        }
    }
}
