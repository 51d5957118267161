use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after the last word of a service's targets after which they count as sound again.
const WORD_LIFETIME: Duration = Duration::from_secs(10);

/// The services whose targets say that they are brittle.
///
/// A target that has fallen over comes back as a new process, which has said nothing yet. It is taken
/// for brittle if the others of its service are: otherwise all that waits would be sent to it before
/// its first answer.
///
/// ```
/// use {limit::BrittleServices, std::time::Instant};
///
/// let now = Instant::now();
/// let mut services = BrittleServices::default();
/// services.record("models", true, now, now);
/// assert!(services.is_brittle("models", now));
/// // The call was sent before a target said that it is brittle.
/// services.record("models", false, now, now);
/// assert!(services.is_brittle("models", now));
/// ```
#[derive(Debug, Default)]
pub struct BrittleServices {
    /// Time of the last word of a brittle target of each service.
    said_at: BTreeMap<String, Instant>,
}

impl BrittleServices {
    /// Records what a target of a service said in the answer to a call that was sent at `called_at`.
    pub fn record(&mut self, service: &str, is_brittle: bool, called_at: Instant, now: Instant) {
        let said_at = self.said_at.get(service).copied();
        if is_brittle {
            self.said_at.insert(service.to_string(), now);
        } else if said_at.is_some_and(|said_at| called_at > said_at) {
            self.said_at.remove(service);
        }
    }

    /// Returns true if targets of the service are brittle.
    pub fn is_brittle(&self, service: &str, now: Instant) -> bool {
        let said_at = self.said_at.get(service);
        said_at.is_some_and(|at| now.saturating_duration_since(*at) < WORD_LIFETIME)
    }
}
