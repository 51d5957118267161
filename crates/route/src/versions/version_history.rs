use {
    plan::{ServiceId, SoftwareVersion, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The only version of a service, as far as it has one.
#[derive(Debug)]
struct VersionSpan {
    /// `None` if targets of several versions, or of a version that is not known, are listed.
    version: Option<SoftwareVersion>,
    since: Instant,
}

/// For how long each service has had targets of one software version only.
///
/// A stream of which nothing else is known began at this version if it cannot be older than that.
///
/// ```
/// use {
///     plan::TargetRow,
///     route::VersionHistory,
///     std::time::{Duration, Instant},
/// };
///
/// let row = |version: &str| TargetRow {
///     service: String::from("models"), address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: String::from("north"), version: Some(version.into()), slots: 1,
///     leaving: false, started_ms: 0,
/// };
/// let (now, second) = (Instant::now(), Duration::from_secs(1));
/// let mut history = VersionHistory::default();
/// history.observe([&row("v1"), &row("v2")], now);
/// assert_eq!(history.sole_version("models", Duration::ZERO, now), None);
/// history.observe([&row("v2")], now + second);
/// assert_eq!(history.sole_version("models", second, now + second), None);
/// assert_eq!(history.sole_version("models", second, now + 2 * second), Some("v2"));
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceId, VersionSpan>,
}

impl VersionHistory {
    /// Records the targets that are listed now.
    pub fn observe<'a>(&mut self, rows: impl IntoIterator<Item = &'a TargetRow>, now: Instant) {
        let mut listed: BTreeMap<&ServiceId, Option<&SoftwareVersion>> = BTreeMap::new();
        for row in rows {
            let version = row.version.as_ref();
            let sole = listed.entry(&row.service).or_insert(version);
            *sole = sole.filter(|sole| Some(*sole) == version);
        }
        for (service, version) in listed {
            let known = self.services.get(service);
            if known.is_none_or(|span| span.version.as_ref() != version) {
                let version = version.cloned();
                let span = VersionSpan {
                    version,
                    since: now,
                };
                self.services.insert(service.clone(), span);
            }
        }
    }

    /// Begins anew, since targets may have come and gone without this entry knowing of it.
    pub fn interrupt(&mut self, now: Instant) {
        for span in self.services.values_mut() {
            span.since = now;
        }
    }

    /// Returns the version of all targets that the service has had for at least this time; `None`
    /// if there were several or that is not known.
    pub fn sole_version(&self, service: &str, span: Duration, now: Instant) -> Option<&str> {
        let known = self.services.get(service)?;
        let is_long_enough = now.saturating_duration_since(known.since) >= span;
        known.version.as_deref().filter(|_| is_long_enough)
    }
}
