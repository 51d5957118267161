//! The daemon under test, started with the command and the template of the deploy file.

use {
    crate::http_text::{MessageHead, message},
    std::{
        fs::{self, File},
        io::{self, BufReader, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Command of the deploy file.
const COMMAND: &str = "target/release/camphor-edge";
/// Template of the deploy file.
const TEMPLATE: &str = "platform/settings.toml";
/// Variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "CAMPHORRAMP_NODE_FILE";
/// File with the ids of the started processes.
const PIDS: &str = "pids";
/// Time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Ports that a daemon listens on: callers, ready, addresses, and its range of three.
const PORT_COUNT: u16 = 6;
/// Range in which free ports are looked for, below the kernel's own.
const PORTS: std::ops::Range<u16> = 18_000..31_000;

/// Addresses of a daemon; the ports are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct EdgePlace {
    ip: IpAddr,
    first_port: u16,
}

impl EdgePlace {
    /// Returns places for this number of daemons, each with a loopback address of its own.
    pub fn find(count: u8) -> io::Result<Vec<Self>> {
        // Cases that run at once have addresses of their own.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ips: Vec<IpAddr> = (0..count)
            .map(|number| IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, low, 10 + number)))
            .collect();
        let mut first_ports = PORTS.step_by(usize::from(PORT_COUNT));
        let is_free = |port: u16| {
            let ports = port..port + PORT_COUNT;
            ports.clone().all(|port| {
                ips.iter().all(|ip| {
                    TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
                })
            })
        };
        let first_port = first_ports.find(|port| is_free(*port));
        let first_port = first_port.ok_or(io::ErrorKind::AddrInUse)?;
        let places = ips.into_iter().map(|ip| Self { ip, first_port });
        Ok(places.collect())
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.address(0)
    }

    fn ready(&self) -> SocketAddr {
        self.address(1)
    }

    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port + offset)
    }
}

/// A daemon; it is killed when dropped.
pub struct EdgeProcess {
    pub place: EdgePlace,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl EdgeProcess {
    /// Writes the settings of the daemon and starts it. `root` is the repository's root, `folder` a
    /// temporary one.
    pub fn start(
        root: &Path,
        folder: &Path,
        number: usize,
        places: &[EdgePlace],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let place = places[number];
        let settings = folder.join(format!("edge-{number}.toml"));
        let log = folder.join(format!("edge-{number}.out"));
        let template = fs::read_to_string(root.join(TEMPLATE))?;
        let text = fill_template(&template, number, places, store);
        fs::write(&settings, text)?;
        let child = spawn(root, &settings, &log)?;
        Ok(Self {
            place,
            root: root.to_path_buf(),
            settings,
            log,
            child,
        })
    }

    /// Waits until the daemon says that it is ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let due = Instant::now() + READY_TIMEOUT;
        while Instant::now() < due {
            if is_ready(self.place.ready()).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(READY_INTERVAL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    /// Kills the process, and starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the process has ended by itself, and starts it again with the same settings.
    pub fn await_end_and_restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let script = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &script]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let open = |path: &Path| File::options().create(true).append(true).open(path);
    let log = open(log)?;
    let child = Command::new(root.join(COMMAND))
        .current_dir(root)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // The script ends what is left, should this program be ended itself.
    writeln!(open(&settings.with_file_name(PIDS))?, "{}", child.id())?;
    Ok(child)
}

/// Fills in the fields as the platform does; the bounds are those of the small deployments.
fn fill_template(template: &str, number: usize, places: &[EdgePlace], store: SocketAddr) -> String {
    let place = places[number];
    let seeds = places.iter().take(3);
    let seeds = seeds.map(|place| format!("\"{}\"", place.address(3)));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let (begin, rest) = template.split_once("{{#seeds}}").unwrap_or((template, ""));
    let (_, end) = rest.split_once("{{/seeds}}").unwrap_or(("", rest));
    let mut text = format!("{begin}{seeds}{end}");
    let port = |offset: u16| (place.first_port + offset).to_string();
    let fields = [
        ("node", format!("edge-{number}")),
        ("zone", String::from("north")),
        ("ip", place.ip.to_string()),
        ("platform.address", store.to_string()),
        ("limits.cpuShare", String::from("0.25")),
        ("limits.memoryMb", String::from("260")),
        ("listen.front", place.callers().to_string()),
        ("listen.ready", place.ready().to_string()),
        ("listen.directory", place.address(2).to_string()),
        ("portRange.0", port(3)),
        ("portRange.1", port(5)),
        ("bounds.graceS", String::from("8")),
        ("bounds.revokeMs", String::from("5000")),
        ("bounds.retryBudgetRatio", String::from("0.2")),
        ("bounds.budgetExtra", String::from("56")),
        ("bounds.budgetWindowS", String::from("10")),
        ("bounds.ttl_max_s", String::from("5")),
    ];
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(&message(
        "GET /v1/ready HTTP/1.1",
        &[("Host", "ready")],
        b"",
    ))?;
    let head = MessageHead::read(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|head| head.word(1) == "200"))
}
