use {
    crate::{
        CUSTOMERS, MEMBERS, TARGETS,
        customer_slopes::{QUEUED, TICKETS, book, queue},
        fleet::{describe_member, list_row},
        head,
        own_memory::own_memory,
        sheet_slopes, show,
        target_slopes::pool,
    },
    base::{HostList, HostState},
    member::{MemberSettings, MemberTable},
    std::{env, process::Command, time::Instant},
};

/// Bytes of each mechanism's state, each weighed in a process of its own, so that no memory that
/// was freed before hides a part of it.
pub fn print() {
    print_one("Member table", "members", "entries", &MEMBERS);
    print_one("Target pool", "pool", "targets", &TARGETS);
    print_one("Queue", "queue", "waiting", &QUEUED);
    print_one("Spent tickets without answers", "book", "tickets", &TICKETS);
    print_one(
        "Sheet, assembled and as text",
        "sheet",
        "customers",
        &CUSTOMERS,
    );
}

fn print_one(title: &str, what: &str, by: &str, sizes: &[usize]) {
    head(&format!("Memory: {title}"), sizes);
    let points: Vec<_> = sizes
        .iter()
        .map(|size| (*size as f64, weigh_apart(what, *size)))
        .collect();
    show("bytes", by, &points);
}

/// Weighs in a fresh process.
fn weigh_apart(what: &str, size: usize) -> f64 {
    let program = env::current_exe().expect("this program has a path");
    let run = Command::new(program)
        .args([what, &size.to_string()])
        .output();
    let text = String::from_utf8(run.expect("this program runs").stdout).unwrap_or_default();
    text.trim()
        .parse()
        .expect("the answer is a number of bytes")
}

/// Prints the bytes of one copy.
pub fn weigh(what: &str, size: usize) -> anyhow::Result<()> {
    let bytes = match what {
        "members" => bytes_each(40, || table(size)),
        "pool" => bytes_each(100, || pool(size)),
        "queue" => bytes_each(40, || queue(size)),
        "book" => bytes_each(4, || book(size)),
        "sheet" => bytes_each(4, || {
            let texts = sheet_slopes::texts(size);
            (sheet_slopes::assemble(&texts), texts)
        }),
        _ => anyhow::bail!("nothing is called {what}"),
    };
    println!("{bytes}");
    Ok(())
}

/// Table that knows so many entries.
fn table(members: usize) -> MemberTable {
    let now = Instant::now();
    let mut table = MemberTable::new(MemberSettings::default(), describe_member(0, 1), 1, now);
    let hosts = (0..members).map(|host| list_row(&describe_member(host, 1), HostState::Live));
    let list = HostList {
        hosts: hosts.collect(),
        targets: Vec::new(),
    };
    table.on_host_list(list, stamp::HybridTime::new(1, 0), now);
    table
}

/// Resident bytes for each of some copies after a first one, whose making leaves memory behind.
fn bytes_each<Value>(copies: usize, make: impl Fn() -> Value) -> f64 {
    let first = make();
    let before = own_memory();
    let values: Vec<Value> = (0..copies).map(|_| make()).collect();
    let grown = own_memory().saturating_sub(before) as f64;
    drop((first, values));
    grown / copies as f64
}
