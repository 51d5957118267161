use {
    crate::{
        CUSTOMERS, MEMBERS, TARGETS,
        customer_slopes::{TICKET_COUNTS, WAITING_CUSTOMERS, filled_queue, filled_registry},
        fleet::{describe_member, list_row},
        print_figure, print_heading,
        process_stats::own_resident_bytes,
        sheet_slopes,
        target_slopes::filled_pool,
    },
    base::{HostList, HostState},
    member::{MemberSettings, MemberTable},
    std::{env, process::Command, time::Instant},
};

/// Prints the memory of each mechanism's state. Each is measured in its own process, because memory
/// that was freed before would be reused and hide a part of it.
pub fn print() {
    print_state("Member table", "members", "entries", &MEMBERS);
    print_state("Target pool", "pool", "targets", &TARGETS);
    print_state("Queue", "queue", "waiting", &WAITING_CUSTOMERS);
    print_state(
        "Spent tickets without answers",
        "book",
        "tickets",
        &TICKET_COUNTS,
    );
    print_state(
        "Sheet, assembled and as text",
        "sheet",
        "customers",
        &CUSTOMERS,
    );
}

fn print_state(title: &str, state: &str, by: &str, sizes: &[usize]) {
    print_heading(&format!("Memory: {title}"), sizes);
    let points: Vec<_> = sizes
        .iter()
        .map(|size| (*size as f64, measure_in_fresh_process(state, *size)))
        .collect();
    print_figure("bytes", by, &points);
}

/// Returns the bytes of one state, measured by this program in a new process.
fn measure_in_fresh_process(state: &str, size: usize) -> f64 {
    let program = env::current_exe().expect("this program has a path");
    let output = Command::new(program)
        .args([state, &size.to_string()])
        .output();
    let text = String::from_utf8(output.expect("this program runs").stdout).unwrap_or_default();
    text.trim()
        .parse()
        .expect("the answer is a number of bytes")
}

/// Prints the mean bytes of a state of this name and size, measured over several copies.
///
/// # Errors
///
/// Fails if no state has this name.
pub fn print_bytes(state: &str, size: usize) -> anyhow::Result<()> {
    let bytes = match state {
        "members" => mean_bytes(40, || filled_table(size)),
        "pool" => mean_bytes(100, || filled_pool(size)),
        "queue" => mean_bytes(40, || filled_queue(size)),
        "book" => mean_bytes(4, || filled_registry(size)),
        "sheet" => mean_bytes(4, || {
            let texts = sheet_slopes::part_texts(size);
            (sheet_slopes::assemble(&texts), texts)
        }),
        _ => anyhow::bail!("no state has the name `{state}`"),
    };
    println!("{bytes}");
    Ok(())
}

/// Returns the table of a member that knows this number of entries.
fn filled_table(members: usize) -> MemberTable {
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

/// Returns the mean resident bytes of this number of copies. A first copy is not counted, because
/// making it allocates memory that later ones reuse.
fn mean_bytes<Value>(copies: usize, make: impl Fn() -> Value) -> f64 {
    let first = make();
    let before = own_resident_bytes();
    let copied_values: Vec<Value> = (0..copies).map(|_| make()).collect();
    let growth = own_resident_bytes().saturating_sub(before) as f64;
    drop((first, copied_values));
    growth / copies as f64
}
