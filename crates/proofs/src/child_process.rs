use {
    anyhow::{Context, anyhow, ensure},
    setup::ReadyLine,
    std::{
        env,
        ffi::OsStr,
        fs::{self, File},
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, ExitStatus, Stdio},
        thread,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Maximum time from the start of a process to its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that a test started; dropping it kills the process.
pub struct ChildProcess {
    child: Child,
    ready: ReadyLine,
}

impl ChildProcess {
    /// Starts a program that is built next to the test and waits for its ready line, a JSON object
    /// on standard output. The standard error of the process is appended to the log file.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built, or prints no valid ready line before the timeout.
    pub async fn start<Argument: AsRef<OsStr>>(
        program: &str,
        arguments: impl IntoIterator<Item = Argument>,
        log: &Path,
    ) -> anyhow::Result<Self> {
        let path = Self::program_path(program)?;
        let log_file = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .with_context(|| format!("cannot start {}", path.display()))?;
        let output = child.stdout.take().context("no standard output")?;
        let placeholder = ReadyLine::new(program, "");
        let mut process = Self {
            child,
            ready: placeholder,
        };
        let line = actix_rt::time::timeout(READY_TIMEOUT, first_line(output)).await;
        let line =
            line.map_err(|_| anyhow!("{program} printed no ready line within {READY_TIMEOUT:?}"))??;
        process.ready = serde_json::from_str(&line).with_context(|| {
            let text = fs::read_to_string(log).unwrap_or_default();
            format!("{program} printed `{line}` as its ready line; its log: {text}")
        })?;
        Ok(process)
    }

    /// Returns the path of a program that is built next to the test, in the folder of the test's
    /// executable or one of the two folders above it.
    ///
    /// # Errors
    ///
    /// Fails if the program is in none of these folders.
    pub fn program_path(program: &str) -> anyhow::Result<PathBuf> {
        let test = env::current_exe()?;
        let candidates = test.ancestors().skip(1).map(|dir| dir.join(program));
        let path = candidates.take(3).find(|path| path.is_file());
        path.with_context(|| format!("{program} is not built next to {}", test.display()))
    }

    /// Returns the address on which the process listens for a role, such as `callers`, as its
    /// ready line gives it.
    ///
    /// # Panics
    ///
    /// Panics if the ready line has no such role.
    pub fn address(&self, role: &str) -> String {
        match self.ready.addresses.get(role) {
            Some(address) => address.clone(),
            None => panic!("{} has no address `{role}`", self.ready.program),
        }
    }

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't kill the process or wait for it.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process with SIGSTOP, which simulates a long pause.
    ///
    /// # Errors
    ///
    /// Fails if the process no longer exists.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.send_signal("STOP")
    }

    /// Continues a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the process no longer exists.
    pub fn unfreeze(&self) -> anyhow::Result<()> {
        self.send_signal("CONT")
    }

    /// Asks the process with SIGTERM to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the process no longer exists.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.send_signal("TERM")
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn send_signal(&self, name: &str) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        ensure!(status.success(), "cannot send {name} to {id}");
        Ok(())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Returns the first line of an output. A thread reads and discards the rest so that the process
/// never blocks on a full pipe.
async fn first_line(output: ChildStdout) -> anyhow::Result<String> {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || {
        let mut reader = BufReader::new(output);
        let mut line = String::new();
        let _ = reader.read_line(&mut line);
        let _ = sender.send(line);
        let mut rest = String::new();
        while matches!(reader.read_line(&mut rest), Ok(1..)) {
            rest.clear();
        }
    });
    Ok(receiver.await?)
}
