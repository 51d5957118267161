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

/// Time in which a process must print its ready line.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A process of a test; killed when dropped.
pub struct ChildProcess {
    child: Child,
    ready: ReadyLine,
}

impl ChildProcess {
    /// Starts a program that is built next to the test and waits for its ready line; its
    /// standard error is appended to the log file.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built, or ends or stays silent before it is ready.
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
        let line = actix_rt::time::timeout(READY_LIMIT, first_line(output)).await;
        let line = line.map_err(|_| anyhow!("{program} is not ready in {READY_LIMIT:?}"))??;
        process.ready = serde_json::from_str(&line).with_context(|| {
            let text = fs::read_to_string(log).unwrap_or_default();
            format!("{program} said `{line}`, and in its log: {text}")
        })?;
        Ok(process)
    }

    /// Path of a program that is built next to the test.
    ///
    /// # Errors
    ///
    /// Fails if it is not there.
    pub fn program_path(program: &str) -> anyhow::Result<PathBuf> {
        let test = env::current_exe()?;
        let found = test.ancestors().skip(1).map(|dir| dir.join(program));
        let found = found.take(3).find(|path| path.is_file());
        found.with_context(|| format!("{program} is not built next to {}", test.display()))
    }

    /// Address of a role that the process listens in.
    ///
    /// # Panics
    ///
    /// Panics if the process has no such role.
    pub fn address(&self, role: &str) -> String {
        match self.ready.addresses.get(role) {
            Some(address) => address.clone(),
            None => panic!("{} has no address `{role}`", self.ready.program),
        }
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses it.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Stops the process as a long pause would.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal("STOP")
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn wake(&self) -> anyhow::Result<()> {
        self.signal("CONT")
    }

    /// Asks the process to end gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal("TERM")
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, name: &str) -> anyhow::Result<()> {
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

/// First line of an output; a thread goes on reading so that the process never blocks on it.
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
