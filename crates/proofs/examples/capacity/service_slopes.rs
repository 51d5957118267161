use {
    crate::{
        MEMBERS,
        fleet::{describe_member, list_row},
        print_figure, print_heading,
    },
    base::{HostList, HostState, ListedTarget},
    sheet::WatchAssignment,
    std::time::Duration,
};

/// Number of data centres.
const DATA_CENTRES: usize = 8;
/// Time for which the service holds a watch, as `camphor-entry` requests it.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Mean pause between two reads of the host list by any entries of the fleet, as in
/// `camphor-entry`.
const LIST_READ_PAUSE: Duration = Duration::from_millis(20);
/// Shortest pause between two reads of the host list by one entry.
const MIN_LIST_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Prints the load of reads on the configuration service, computed from the watch assignment and
/// the pauses between reads.
pub fn print() {
    print_heading("Reads at the service, worked out", &MEMBERS);
    let points = MEMBERS.map(|members| (members as f64, index_reads_per_second(members)));
    print_figure("reads of the index a second", "entries", &points);
    let points = MEMBERS.map(|members| {
        (
            members as f64,
            members as f64 / list_period_seconds(members),
        )
    });
    print_figure("reads of the host list a second", "entries", &points);
    let points = MEMBERS.map(|members| (members as f64, list_bytes(members)));
    print_figure("bytes of the host list, 600 marks", "entries", &points);
    let points = MEMBERS.map(|members| {
        (
            members as f64,
            list_bytes(members) / list_period_seconds(members),
        )
    });
    print_figure(
        "bytes of the host list a second, one entry",
        "entries",
        &points,
    );
    let points = MEMBERS.map(|members| (members as f64, watcher_count(members) as f64));
    print_figure("watchers", "entries", &points);
}

fn watch_assignment(members: usize) -> WatchAssignment {
    let hosts = (0..members).map(|host| {
        (
            format!("entry-{host:03}"),
            format!("dc-{}", host % DATA_CENTRES),
        )
    });
    WatchAssignment::new(hosts)
}

fn watcher_count(members: usize) -> usize {
    watch_assignment(members).watchers().len()
}

/// Returns the reads of the index per second: each watcher's held reads and the others' polls.
fn index_reads_per_second(members: usize) -> f64 {
    let watchers = watcher_count(members) as f64;
    let period = watch_assignment(members).mean_poll_interval().as_secs_f64();
    watchers / WATCH_TIME.as_secs_f64() + (members as f64 - watchers) / period
}

/// Returns the seconds between two reads of the host list by one entry.
fn list_period_seconds(members: usize) -> f64 {
    let members = u32::try_from(members).expect("few members");
    MIN_LIST_POLL_PERIOD
        .max(LIST_READ_PAUSE * members)
        .as_secs_f64()
}

/// Returns the bytes of a host list with this number of entries and 600 marked targets.
fn list_bytes(members: usize) -> f64 {
    let hosts = (0..members).map(|host| list_row(&describe_member(host, 1), HostState::Live));
    let statuses = (0..600).map(|number| ListedTarget {
        target: format!("target-{number:03}"),
        state: HostState::Live,
    });
    let list = HostList {
        hosts: hosts.collect(),
        targets: statuses.collect(),
    };
    serde_json::to_vec(&list)
        .expect("the list can be written")
        .len() as f64
}
