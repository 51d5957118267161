use {
    crate::dialect::{HeaderList, header_value},
    hyper::header::{CONNECTION, HeaderMap},
    std::time::Duration,
};

/// Hop-by-hop headers, which concern only one connection and are not passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest idle time-out of the other side that is taken as it is.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// Returns the headers without the hop-by-hop ones. `keep-alive` stays, since the pool needs it.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderList {
    let connection_values = headers.get_all(CONNECTION).iter();
    let named_hop_headers: Vec<String> = connection_values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        name == "keep-alive"
            || (!is_hop_header(name) && !named_hop_headers.iter().any(|hop| hop == name))
    });
    kept.map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns true for hop-by-hop headers, which concern only one connection; the name is in lower
/// case.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// Returns the idle time-out that the other side states in its `keep-alive` header.
pub fn keep_alive_timeout(headers: &HeaderList) -> Option<Duration> {
    let value = header_value(headers, "keep-alive")?;
    let words = value.split(',');
    let mut timeout_values = words.filter_map(|word| word.trim().strip_prefix("timeout="));
    timeout_values
        .next()?
        .trim()
        .parse()
        .ok()
        .map(|seconds| Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
}
