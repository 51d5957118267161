use {
    rustix::process::{Resource, getrlimit},
    setup::HttpLimits,
};

/// Share of the file descriptors for the connections of callers. Each of their requests may need one
/// more, to a target.
const CALLER_SHARE: f64 = 0.4;
/// Share for the requests that other entries hand over.
const HOP_SHARE: f64 = 0.1;
/// Share for each of the other addresses.
const AUXILIARY_SHARE: f64 = 0.03;
/// Connections that an address may have in any case.
const MIN_CONNECTIONS: usize = 8;

/// How many connections each address may have, so that descriptors are left for those to targets, to
/// the store and to other entries.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorShares {
    descriptors: Option<u64>,
}

impl DescriptorShares {
    /// Divides the file descriptors that the process may open.
    pub fn of_process() -> Self {
        Self {
            descriptors: getrlimit(Resource::Nofile).current,
        }
    }

    /// Returns the number of connections of callers.
    pub fn callers(self) -> usize {
        self.share(CALLER_SHARE)
    }

    /// Returns the number of connections of entries that hand requests over.
    pub fn hops(self) -> usize {
        self.share(HOP_SHARE)
    }

    /// Returns the number of connections of each other address.
    pub fn auxiliary(self) -> usize {
        self.share(AUXILIARY_SHARE)
    }

    fn share(self, share: f64) -> usize {
        let most = HttpLimits::default().max_connections;
        let count = self
            .descriptors
            .map(|count| (count as f64 * share) as usize);
        count.map_or(most, |count| count.clamp(MIN_CONNECTIONS, most))
    }
}
