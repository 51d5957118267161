use base::HostId;

/// Smallest number of entries that a customer uses unless a number is configured; its share of the
/// load may need more.
pub const DEFAULT_ENTRIES: usize = 3;
/// Target utilisation of a customer's entries, reached when its load equals its share of the fleet.
const ENTRY_UTILISATION: f64 = 0.67;

/// The set of live entries, which it ranks for a customer by weighted rendezvous hashing.
///
/// Adding or removing an entry moves only the customers that have this entry among the first
/// `count` of their ranking.
///
/// ```
/// use route::EntryRanking;
///
/// let hosts = ["h1", "h2", "h3", "h4"].map(|host| (host.to_string(), 1));
/// let ranking = EntryRanking::new(hosts);
/// let ranked = ranking.rank("farm", 3);
/// assert_eq!(ranked.len(), 3);
/// assert_eq!(ranked, ranking.rank("farm", 3));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EntryRanking {
    /// Live entries with their sizes, that is, their capacities relative to the other hosts.
    entries: Vec<(HostId, u32)>,
}

impl EntryRanking {
    /// Creates a ranking over live entries with their sizes, which weight the hashing.
    pub fn new(entries: impl IntoIterator<Item = (HostId, u32)>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
        }
    }

    /// Returns up to `count` entries for the customer, the preferred one first.
    pub fn rank(&self, customer: &str, count: usize) -> Vec<HostId> {
        let mut scored: Vec<(f64, &HostId)> = self
            .entries
            .iter()
            .map(|(host, size)| (rendezvous_score(customer, host, f64::from(*size)), host))
            .collect();
        scored.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(right.1)));
        scored.truncate(count);
        scored.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Returns the number of entries that a customer should use: the `configured` number from the
    /// sheet or the entry's settings, or else enough entries for the customer's share of the
    /// total weight, at least [`DEFAULT_ENTRIES`].
    ///
    /// ```
    /// let hosts = (0..100).map(|host| (format!("h{host}"), 1));
    /// let ranking = route::EntryRanking::new(hosts);
    /// assert_eq!(ranking.entry_count(None, 1, 1_000), route::DEFAULT_ENTRIES);
    /// assert_eq!(ranking.entry_count(None, 200, 1_000), 30);
    /// assert_eq!(ranking.entry_count(Some(5), 200, 1_000), 5);
    /// ```
    pub fn entry_count(&self, configured: Option<u32>, weight: u32, total_weight: u64) -> usize {
        if let Some(configured) = configured {
            return (configured as usize).max(1);
        }
        let share = f64::from(weight) / (total_weight.max(1) as f64);
        let needed = (share * self.entries.len() as f64 / ENTRY_UTILISATION).ceil() as usize;
        needed.clamp(DEFAULT_ENTRIES, self.entries.len().max(DEFAULT_ENTRIES))
    }
}

/// Returns the weighted rendezvous score of an entry for a customer; the entry with the highest
/// score is preferred.
fn rendezvous_score(customer: &str, host: &str, weight: f64) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(customer.len() as u64).to_le_bytes());
    hasher.update(customer.as_bytes());
    hasher.update(host.as_bytes());
    weighted_score(leading_word(&hasher.finalize()), weight)
}

/// Returns the 64-bit hash of a name, the same on every entry.
pub(crate) fn name_hash(name: &str) -> u64 {
    leading_word(&blake3::hash(name.as_bytes()))
}

/// Converts a uniformly distributed hash into a score. Among several scores, each is the highest
/// with a probability proportional to its weight.
pub(crate) fn weighted_score(hash: u64, weight: f64) -> f64 {
    // The upper 53 bits, which an f64 holds exactly; the 0.5 keeps the value above 0.
    let value_count = (1_u64 << 53) as f64;
    let uniform = ((hash >> 11) as f64 + 0.5) / value_count;
    -weight / uniform.ln()
}

/// Returns the first 8 bytes of a hash as a number.
fn leading_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
