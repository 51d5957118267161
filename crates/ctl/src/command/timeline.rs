use {
    crate::entry_client::EntryClient,
    anyhow::bail,
    stamp::{EventFilter, TimelineEvent, merge_events},
};

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Merge the events of several entries into one timeline.
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
    /// print one line with a JSON object for each event
    #[argh(switch)]
    json: bool,
}

/// Prints the merged timeline. An entry that does not answer is reported and left out; fails if
/// none answers.
pub async fn timeline(args: TimelineArgs) -> anyhow::Result<()> {
    super::require_entry(&args.entry)?;
    let filter = EventFilter {
        request: args.request,
        customer: args.customer,
    };
    let mut event_lists = Vec::new();
    for address in &args.entry {
        match read_events(address, &filter).await {
            Ok(events) => event_lists.push(events),
            Err(error) => eprintln!("{error:#}"),
        }
    }
    if event_lists.is_empty() {
        bail!("no entry answered");
    }
    for event in merge_events(event_lists) {
        if args.json {
            println!("{}", serde_json::to_string(&event)?);
        } else {
            println!("{}", format_event(&event));
        }
    }
    Ok(())
}

/// Reads the events of one entry that match. They are filtered here as well, since the query can't
/// carry every filter.
async fn read_events(address: &str, filter: &EventFilter) -> anyhow::Result<Vec<TimelineEvent>> {
    let path = format!("/timeline?{}", filter_query(filter));
    let answer = EntryClient::new(address).get(&path).await?;
    let mut events: Vec<TimelineEvent> = serde_json::from_value(answer)?;
    events.retain(|event| filter.matches(event));
    Ok(events)
}

/// Query by which the entry filters its events; ids that would need escaping are left out of it.
fn filter_query(filter: &EventFilter) -> String {
    let pairs = [("request", &filter.request), ("customer", &filter.customer)];
    let parameters = pairs.into_iter().filter_map(|(key, value)| {
        let value = value.as_ref()?;
        let is_plain = value.bytes().all(super::is_unreserved);
        is_plain.then(|| format!("{key}={value}"))
    });
    parameters.collect::<Vec<_>>().join("&")
}

/// Formats an event as one line of text; the time of day is in UTC.
fn format_event(event: &TimelineEvent) -> String {
    let seconds = event.at.physical_us / MICROS_PER_SECOND % SECONDS_PER_DAY;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let mut line = format!(
        "{hours:02}:{minutes:02}:{:02}.{:06}+{} {} {}",
        seconds % 60,
        event.at.physical_us % MICROS_PER_SECOND,
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
