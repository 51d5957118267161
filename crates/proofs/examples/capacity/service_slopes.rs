use {
    crate::{
        MEMBERS,
        fleet::{describe_member, list_row},
        head, show,
    },
    base::{HostList, HostState, TargetStatus},
    sheet::WatchAssignment,
    std::time::Duration,
};

/// Data centres.
const CENTRES: usize = 8;
/// Time that a watch is held, as `camphor-entry` asks for.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause between the reads of the host list by all entries, as in `camphor-entry`.
const LIST_GAP: Duration = Duration::from_millis(20);
/// Shortest pause between two such reads of one entry.
const LIST_POLL: Duration = Duration::from_secs(1);

/// Reads at the configuration service, worked out from the watch assignment and the pauses.
pub fn print() {
    head("Reads at the service, worked out", &MEMBERS);
    let points = MEMBERS.map(|members| (members as f64, index_reads(members)));
    show("reads of the index a second", "entries", &points);
    let points = MEMBERS.map(|members| (members as f64, members as f64 / list_pause(members)));
    show("reads of the host list a second", "entries", &points);
    let points = MEMBERS.map(|members| (members as f64, list_bytes(members)));
    show("bytes of the host list, 600 marks", "entries", &points);
    let points = MEMBERS.map(|members| (members as f64, list_bytes(members) / list_pause(members)));
    show(
        "bytes of the host list a second, one entry",
        "entries",
        &points,
    );
    let points = MEMBERS.map(|members| (members as f64, watchers(members) as f64));
    show("watchers", "entries", &points);
}

fn assignment(members: usize) -> WatchAssignment {
    let hosts =
        (0..members).map(|host| (format!("entry-{host:03}"), format!("dc-{}", host % CENTRES)));
    WatchAssignment::new(hosts)
}

fn watchers(members: usize) -> usize {
    assignment(members).watchers().len()
}

fn index_reads(members: usize) -> f64 {
    let watchers = watchers(members) as f64;
    let period = assignment(members).poll_period().as_secs_f64();
    watchers / WATCH_TIME.as_secs_f64() + (members as f64 - watchers) / period
}

fn list_pause(members: usize) -> f64 {
    let members = u32::try_from(members).expect("few members");
    LIST_POLL.max(LIST_GAP * members).as_secs_f64()
}

fn list_bytes(members: usize) -> f64 {
    let hosts = (0..members).map(|host| list_row(&describe_member(host, 1), HostState::Live));
    let marks = (0..600).map(|number| TargetStatus {
        target: format!("target-{number:03}"),
        state: HostState::Live,
    });
    let list = HostList {
        hosts: hosts.collect(),
        targets: marks.collect(),
    };
    serde_json::to_vec(&list)
        .expect("the list can be written")
        .len() as f64
}
