use {
    crate::entry_client::EntryClient,
    anyhow::bail,
    stamp::{EventFilter, TimelineEvent, merge_events},
};

/// Microseconds of a second.
const SECOND_US: u64 = 1_000_000;
/// Seconds of a day.
const DAY_S: u64 = 86_400;

/// Merge the events of several entries into one time line.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// address of an operators' interface, `ip:port`; may be repeated
    #[argh(option)]
    entry: Vec<String>,
    /// only events of this request
    #[argh(option)]
    request: Option<String>,
    /// only events of this customer
    #[argh(option)]
    customer: Option<String>,
    /// print one JSON object a line for each event
    #[argh(switch)]
    json: bool,
}

/// Prints the merged time line; entries that do not answer are named and left out.
pub async fn timeline(args: TimelineArgs) -> anyhow::Result<()> {
    super::require_entry(&args.entry)?;
    let filter = EventFilter {
        request: args.request,
        customer: args.customer,
    };
    let mut lists = Vec::new();
    for address in &args.entry {
        match read_events(address, &filter).await {
            Ok(events) => lists.push(events),
            Err(error) => eprintln!("{error:#}"),
        }
    }
    if lists.is_empty() {
        bail!("no entry answered");
    }
    for event in merge_events(lists) {
        if args.json {
            println!("{}", serde_json::to_string(&event)?);
        } else {
            println!("{}", event_line(&event));
        }
    }
    Ok(())
}

async fn read_events(address: &str, filter: &EventFilter) -> anyhow::Result<Vec<TimelineEvent>> {
    let path = format!("/timeline?{}", query_of(filter));
    let answer = EntryClient::new(address).get(&path).await?;
    let mut events: Vec<TimelineEvent> = serde_json::from_value(answer)?;
    events.retain(|event| filter.matches(event));
    Ok(events)
}

/// Query that lets the entry leave out events; ids that would need escaping are left to us.
fn query_of(filter: &EventFilter) -> String {
    let pairs = [("request", &filter.request), ("customer", &filter.customer)];
    let plain = pairs.into_iter().filter_map(|(key, value)| {
        let value = value.as_ref()?;
        let is_plain = value.bytes().all(super::is_unreserved);
        is_plain.then(|| format!("{key}={value}"))
    });
    plain.collect::<Vec<_>>().join("&")
}

/// One event for a person; times of day are in UTC.
fn event_line(event: &TimelineEvent) -> String {
    let seconds = event.at.physical_us / SECOND_US % DAY_S;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let mut line = format!(
        "{hours:02}:{minutes:02}:{:02}.{:06}+{} {} {}",
        seconds % 60,
        event.at.physical_us % SECOND_US,
        event.at.counter,
        event.process,
        event.kind
    );
    let fields = [
        ("customer", event.customer.clone()),
        ("request", event.request.clone()),
        ("stage", event.stage.map(|stage| stage.to_string())),
        ("attempt", event.attempt.map(|attempt| attempt.to_string())),
        ("member", event.member.clone()),
        (
            "sheet",
            event.sheet_version.map(|version| version.to_string()),
        ),
    ];
    for (key, value) in fields {
        if let Some(value) = value {
            line.push_str(&format!(" {key}={value}"));
        }
    }
    if !event.detail.is_empty() {
        line.push_str(&format!(": {}", event.detail));
    }
    line
}
