//! The processes under review: one for each machine, started as the deploy file says.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The `run` line and the template of the deploy file.
const PROGRAM: &str = "target/release/camphor-edge";
const TEMPLATE: &str = "platform/settings.toml";
/// The part of the template that is filled in for each seed.
const SEED_SECTION: &str = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";

/// First port that is tried.
const FIRST_PORT: u16 = 12_000;
/// Ports that one machine takes.
const PORT_COUNT: u16 = 40;
/// Positions of a machine's ports.
const FRONT: u16 = 0;
const READY: u16 = 1;
const DIRECTORY: u16 = 2;
const CONTROL: u16 = 3;
const FIRST_FREE: u16 = 10;
const LAST_FREE: u16 = 25;

/// Time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(12);

/// All processes that were started and not reaped.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn children() -> MutexGuard<'static, Vec<Child>> {
    CHILDREN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Kills all processes that were started.
pub fn kill_all() {
    for mut child in children().drain(..) {
        // It may have exited already.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The system under review. Its processes are killed when this is dropped.
pub struct EdgeFleet {
    pub edges: Vec<EdgeProcess>,
    folder: PathBuf,
}

/// One process of the system.
pub struct EdgeProcess {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    id: u32,
}

impl EdgeFleet {
    /// Starts a process on each of `count` machines and waits until all are ready.
    pub fn start(count: u8, store: SocketAddr) -> io::Result<Self> {
        Self::start_with_links(&vec![store; usize::from(count)])
    }

    /// Starts a process for each address at which its machine reaches the store, and waits until all
    /// are ready.
    pub fn start_with_links(stores: &[SocketAddr]) -> io::Result<Self> {
        let root = std::env::current_dir()?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = since_epoch.map_or(0, |time| time.as_nanos());
        let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        fs::create_dir(&folder)?;
        let machines: Vec<IpAddr> = (11..)
            .zip(stores)
            .map(|(host, _)| IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)))
            .collect();
        let port = find_ports(&machines)?;
        let template = fs::read_to_string(root.join(TEMPLATE))?;
        let mut fleet = Self {
            edges: Vec::new(),
            folder,
        };
        for (number, (ip, store)) in machines.iter().zip(stores).enumerate() {
            let machine = MachineCard {
                name: format!("edge-{}", number + 1),
                zone: format!("zone-{}", number % 3 + 1),
                ip: *ip,
                port,
                store: *store,
            };
            let settings = machine.fill_in(&template, &machines);
            let edge = start_edge(&root, &fleet.folder, &machine, &settings)?;
            fleet.edges.push(edge);
        }
        for edge in &fleet.edges {
            edge.wait_ready()?;
        }
        Ok(fleet)
    }
}

impl Drop for EdgeFleet {
    fn drop(&mut self) {
        kill_all();
        // What is left of the folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl EdgeProcess {
    /// Sends a signal, by its name as `kill` knows it.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.id);
        let status = Command::new("sh").args(["-c", &command]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("{command} failed"))),
        }
    }

    /// Returns true once the process has exited.
    pub fn has_exited(&self) -> bool {
        let mut children = children();
        let child = children.iter_mut().find(|child| child.id() == self.id);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns true if the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = crate::test_caller::get(self.ready, "/v1/ready");
        answer.is_some_and(|status| status == 200)
    }

    fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline || self.has_exited() {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

/// A machine of the system.
struct MachineCard {
    name: String,
    zone: String,
    ip: IpAddr,
    /// First of its ports.
    port: u16,
    /// Address at which it reaches the store.
    store: SocketAddr,
}

impl MachineCard {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.port + offset)
    }

    /// Fills in the template as the platform does, with the bounds of the small sites.
    fn fill_in(&self, template: &str, machines: &[IpAddr]) -> String {
        let seeds = machines.iter().take(3);
        let seeds: Vec<String> = seeds
            .map(|seed| format!("\"{}\"", SocketAddr::new(*seed, self.port + CONTROL)))
            .collect();
        let fields = BTreeMap::from([
            ("node", self.name.clone()),
            ("zone", self.zone.clone()),
            ("ip", self.ip.to_string()),
            ("platform.address", self.store.to_string()),
            ("limits.cpuShare", String::from("0.25")),
            ("limits.memoryMb", String::from("260")),
            ("listen.front", self.address(FRONT).to_string()),
            ("listen.ready", self.address(READY).to_string()),
            ("listen.directory", self.address(DIRECTORY).to_string()),
            ("portRange.0", (self.port + FIRST_FREE).to_string()),
            ("portRange.1", (self.port + LAST_FREE).to_string()),
            ("bounds.graceS", String::from("8")),
            ("bounds.revokeMs", String::from("5000")),
            ("bounds.retryBudgetRatio", String::from("0.2")),
            ("bounds.budgetExtra", String::from("54")),
            ("bounds.budgetWindowS", String::from("10")),
            ("bounds.ttl_max_s", String::from("5")),
        ]);
        let text = template.replace(SEED_SECTION, &seeds.join(","));
        fields.iter().fold(text, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        })
    }
}

fn start_edge(
    root: &Path,
    folder: &Path,
    machine: &MachineCard,
    settings: &str,
) -> io::Result<EdgeProcess> {
    let name = &machine.name;
    let settings_path = folder.join(format!("{name}.toml"));
    fs::write(&settings_path, settings)?;
    let inherited = ["PATH", "HOME", "LANG"];
    let inherited = inherited.iter().filter_map(|variable| {
        let value = std::env::var_os(variable)?;
        Some((*variable, value))
    });
    let mut command = Command::new(root.join(PROGRAM));
    // SAFETY: `prctl` may be called between fork and exec, and takes no pointers here.
    unsafe { command.pre_exec(end_with_parent) };
    let child = command
        .current_dir(root)
        .env_clear()
        .envs(inherited)
        .env("CAMPHORRAMP_NODE_FILE", &settings_path)
        .stdin(Stdio::null())
        .stdout(File::create(folder.join(format!("{name}.log")))?)
        .spawn()?;
    let id = child.id();
    children().push(child);
    Ok(EdgeProcess {
        name: name.clone(),
        front: machine.address(FRONT),
        ready: machine.address(READY),
        id,
    })
}

/// Has the kernel kill this process when the driver ends, in whatever way.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    // SAFETY: this option takes a number.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Returns the first port of a range that is free on all machines.
fn find_ports(machines: &[IpAddr]) -> io::Result<u16> {
    let offset = (std::process::id() % 400) as u16 * PORT_COUNT;
    let is_free = |port: u16| {
        machines.iter().all(|machine| {
            (port..port + PORT_COUNT).all(|port| {
                let address = SocketAddr::new(*machine, port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        })
    };
    let mut ports = (0..100).map(|step| FIRST_PORT + (offset + step * PORT_COUNT) % 16_000);
    ports
        .find(|port| is_free(*port))
        .ok_or_else(|| io::Error::other("no free ports"))
}
