use {
    base::StableHash,
    plan::{ServiceId, SoftwareVersion},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Maximum number of streams that are remembered; the one that expires first yields.
const MAX_STREAMS: usize = 65_536;
/// Longest time for which the beginning of a stream is remembered.
const MAX_KEEP: Duration = Duration::from_secs(600);

/// Hash of the caller's try that brought the first event of a stream.
pub type AttemptKey = u64;

/// Returns the key of a try by the host name and path of the request and the id of the try.
pub fn attempt_key(host: &str, path: &str, attempt: &str) -> AttemptKey {
    let request = StableHash::new().with_text(host).with_text(path);
    request.with_text(attempt).finish()
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The caller's try that brought the first event.
    pub attempt: AttemptKey,
    /// Service whose target began the stream.
    pub service: ServiceId,
    /// Software version of this target; `None` once it is in doubt.
    pub version: Option<SoftwareVersion>,
    /// Time for which the caller may still ask for the rest of the stream.
    pub keep: Duration,
}

#[derive(Debug)]
struct OriginRow {
    service: ServiceId,
    /// Version that began the stream; `None` if it is in doubt.
    version: Option<SoftwareVersion>,
    expires_at: Instant,
}

/// Streams whose beginning this entry has seen or was told of.
///
/// ```
/// use {
///     route::{StreamOrigin, StreamOrigins, attempt_key},
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let origin = StreamOrigin {
///     attempt: attempt_key("a.example", "/chat/1", "r1"),
///     service: String::from("models"),
///     version: Some(String::from("v1")),
///     keep: Duration::from_secs(8),
/// };
/// let mut origins = StreamOrigins::default();
/// origins.record(&origin, now);
/// assert_eq!(origins.find(origin.attempt, now).unwrap().version.unwrap(), "v1");
/// assert_eq!(origins.find(origin.attempt, now + Duration::from_secs(9)), None);
/// ```
#[derive(Debug, Default)]
pub struct StreamOrigins {
    rows: HashMap<AttemptKey, OriginRow>,
    /// The same streams by the time at which they expire.
    expiries: BTreeSet<(Instant, AttemptKey)>,
}

impl StreamOrigins {
    /// Records where a stream began. If two versions are told for a stream, its version is in doubt.
    pub fn record(&mut self, origin: &StreamOrigin, now: Instant) {
        self.remove_expired(now);
        let mut row = OriginRow {
            service: origin.service.clone(),
            version: origin.version.clone(),
            expires_at: now + origin.keep.min(MAX_KEEP),
        };
        if let Some(known) = self.rows.remove(&origin.attempt) {
            self.expiries.remove(&(known.expires_at, origin.attempt));
            let is_same = known.service == row.service && known.version == row.version;
            row.version = row.version.filter(|_| is_same);
            row.expires_at = row.expires_at.max(known.expires_at);
        }
        self.expiries.insert((row.expires_at, origin.attempt));
        self.rows.insert(origin.attempt, row);
        if self.rows.len() > MAX_STREAMS
            && let Some((_, attempt)) = self.expiries.pop_first()
        {
            self.rows.remove(&attempt);
        }
    }

    /// Returns where the stream began whose first event the try brought; `None` if that is not known.
    pub fn find(&self, attempt: AttemptKey, now: Instant) -> Option<StreamOrigin> {
        let row = self.rows.get(&attempt);
        let row = row.filter(|row| row.expires_at > now)?;
        Some(StreamOrigin {
            attempt,
            service: row.service.clone(),
            version: row.version.clone(),
            keep: row.expires_at.saturating_duration_since(now),
        })
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, attempt)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            self.expiries.pop_first();
            self.rows.remove(&attempt);
        }
    }
}
