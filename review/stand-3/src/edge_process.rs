//! Processes of `camphor-edge`, started as the deploy file says.

use {
    crate::run_record::RunRecord,
    std::{
        fs::{self, File},
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Number of ports that a host needs, one after the other.
const PORT_COUNT: u16 = 8;

/// Ports from which those of the hosts are chosen.
const FIRST_PORT: u16 = 21_000;
const PORT_RANGE: u16 = 9_000;

/// Hosts of a small deployment, with the same ports each.
pub struct EdgeFleet {
    pub edges: Vec<EdgeProcess>,
    folder: PathBuf,
}

/// A process on a host of its own.
pub struct EdgeProcess {
    settings: PathBuf,
    ip: String,
    first_port: u16,
    child: Child,
}

impl EdgeProcess {
    /// Returns the address for requesters.
    pub fn front(&self) -> SocketAddr {
        self.address(0)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("bash").args(["-c", &command]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("signal {name} was not sent")),
        }
    }

    fn address(&self, offset: u16) -> SocketAddr {
        let text = format!("{}:{}", self.ip, self.first_port + offset);
        text.parse().expect("an address")
    }

    /// Returns true if the process says that it is ready.
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address(1)) else {
            return false;
        };
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut reader = std::io::BufReader::new(match stream.try_clone() {
            Ok(reader) => reader,
            Err(_) => return false,
        });
        let sent = stream.write_all(request);
        let answer = crate::http_text::read_head(&mut reader);
        sent.is_ok() && matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }
}

impl EdgeFleet {
    /// Starts this number of processes and waits until all are ready.
    pub fn start(count: usize, store: SocketAddr, record: &RunRecord) -> Result<Self, String> {
        Self::start_at(&vec![store; count], record)
    }

    /// Starts a process for each of these addresses of the store, and waits until all are ready.
    pub fn start_at(stores: &[SocketAddr], record: &RunRecord) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ips: Vec<String> = (0..stores.len())
            .map(|host| format!("127.31.0.{}", host + 11))
            .collect();
        let first_port = free_ports(&ips).ok_or("no free ports")?;
        let mut fleet = Self {
            edges: Vec::new(),
            folder,
        };
        for ((host, ip), store) in ips.iter().enumerate().zip(stores) {
            let name = format!("edge-lakes-a-{}", host + 1);
            let settings = fleet.folder.join(format!("{name}.toml"));
            let text = settings_text(&name, ip, first_port, &ips, *store)?;
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let child = start_process(&settings)?;
            record.note(&format!("{name}: started"));
            fleet.edges.push(EdgeProcess {
                settings,
                ip: ip.clone(),
                first_port,
                child,
            });
        }
        let due = Instant::now() + Duration::from_secs(15);
        while !fleet.edges.iter().all(EdgeProcess::is_ready) {
            if Instant::now() > due {
                return Err(String::from("not all processes get ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(fleet)
    }
}

impl EdgeFleet {
    /// Kills the last processes at the same moment, and starts them again at once.
    pub fn kill_last(&mut self, count: usize, record: &RunRecord) -> Result<(), String> {
        let first = self.edges.len() - count;
        let killed = &mut self.edges[first..];
        for edge in killed.iter_mut() {
            edge.child.kill().map_err(|error| error.to_string())?;
        }
        record.note(&format!("{count} processes are killed"));
        for edge in killed.iter_mut() {
            edge.child.wait().map_err(|error| error.to_string())?;
        }
        for edge in killed {
            edge.child = start_process(&edge.settings)?;
        }
        record.note("they are started again");
        Ok(())
    }
}

impl Drop for EdgeFleet {
    fn drop(&mut self) {
        for edge in &mut self.edges {
            let _ = edge.child.kill();
            let _ = edge.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Starts the program of the deploy file; its log stands beside its settings.
fn start_process(settings: &Path) -> Result<Child, String> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let log = log.map_err(|error| error.to_string())?;
    let child = Command::new("target/release/camphor-edge")
        .env("CAMPHORRAMP_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn();
    child.map_err(|error| format!("camphor-edge does not start: {error}"))
}

/// Returns the first of some ports that are free on all hosts.
fn free_ports(ips: &[String]) -> Option<u16> {
    (0..100).find_map(|_| {
        let probe = TcpListener::bind("127.0.0.1:0").ok()?;
        // Below the ports that the kernel gives to outgoing connections.
        let first = FIRST_PORT + probe.local_addr().ok()?.port() % PORT_RANGE;
        drop(probe);
        let mut addresses = ips
            .iter()
            .flat_map(|ip| (first..first + PORT_COUNT).map(move |port| format!("{ip}:{port}")));
        let are_free = addresses.all(|address| {
            TcpListener::bind(&address).is_ok() && std::net::UdpSocket::bind(&address).is_ok()
        });
        are_free.then_some(first)
    })
}

/// Fills in the project's template of the settings, as the platform does.
fn settings_text(
    name: &str,
    ip: &str,
    first_port: u16,
    ips: &[String],
    store: SocketAddr,
) -> Result<String, String> {
    let template = fs::read_to_string("platform/settings.toml");
    let mut text = template.map_err(|error| format!("platform/settings.toml: {error}"))?;
    let start = text.find("{{#seeds}}").ok_or("the template has no seeds")?;
    let end = text.find("{{/seeds}}").ok_or("the template has no seeds")? + "{{/seeds}}".len();
    let seeds = ips.iter().take(3);
    let seeds: Vec<String> = seeds
        .map(|ip| format!("\"{ip}:{}\"", first_port + 2))
        .collect();
    text.replace_range(start..end, &seeds.join(","));
    let port = |offset: u16| (first_port + offset).to_string();
    let address = |offset: u16| format!("{ip}:{}", first_port + offset);
    let fields = [
        ("node", name.to_string()),
        ("zone", String::from("lakes-a")),
        ("ip", ip.to_string()),
        ("platform.address", store.to_string()),
        ("limits.cpuShare", String::from("0.25")),
        ("limits.memoryMb", String::from("260")),
        ("listen.front", address(0)),
        ("listen.ready", address(1)),
        ("listen.directory", address(3)),
        ("portRange.0", port(4)),
        ("portRange.1", port(7)),
        ("bounds.graceS", String::from("8")),
        ("bounds.revokeMs", String::from("5000")),
        ("bounds.retryBudgetRatio", String::from("0.2")),
        ("bounds.budgetExtra", String::from("54")),
        ("bounds.budgetWindowS", String::from("10")),
        ("bounds.ttl_max_s", String::from("5")),
    ];
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    match text.contains("{{") {
        true => Err(String::from(
            "the template has fields that are not known here",
        )),
        false => Ok(text),
    }
}
