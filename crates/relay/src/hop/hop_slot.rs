use {
    crate::{caller::RelayDraft, shared::RelayCore},
    board::pick_hop,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Interval of checks whether requests have to be handed over.
const HOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that was handed over to another entry, because this one has no links to targets.
/// Dropping it ends the count of the request at the other entry.
pub struct HopSlot {
    core: Rc<RelayCore>,
    peer: HopPeer,
    started: Instant,
}

/// An entry to which requests can be handed over.
struct HopPeer {
    host: String,
    /// Address at which it takes them over.
    address: SocketAddr,
}

impl HopSlot {
    /// Chooses an entry to hand a request over to, other than the hosts in `tried`. `None` if this
    /// entry has links to targets, if the request was handed over before, or if no entry reaches
    /// targets.
    pub fn take(core: &Rc<RelayCore>, draft: &RelayDraft, tried: &[String]) -> Option<Self> {
        let peer = choose_hop(core, draft.is_hop, tried)?;
        let mut counts = core.hop_counts.borrow_mut();
        *counts.entry(peer.host.clone()).or_default() += 1;
        Some(Self {
            core: Rc::clone(core),
            peer,
            started: Instant::now(),
        })
    }

    /// Returns the name of the other host.
    pub fn host(&self) -> &str {
        &self.peer.host
    }

    /// Returns the address at which the other entry takes requests over.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Returns the time since the request was handed over.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for HopSlot {
    fn drop(&mut self) {
        let mut counts = self.core.hop_counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.peer.host) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.peer.host);
            }
        }
    }
}

/// Waits until a request that was not handed over before has to be.
pub async fn until_hop(core: &RelayCore, is_hop: bool) {
    while choose_hop(core, is_hop, &[]).is_none() {
        actix_rt::time::sleep(HOP_CHECK_INTERVAL).await;
    }
}

/// Returns true if this entry has no links to targets and there is an entry to hand requests over to.
pub fn must_hand_over(core: &RelayCore) -> bool {
    choose_hop(core, false, &[]).is_some()
}

fn choose_hop(core: &RelayCore, is_hop: bool, tried: &[String]) -> Option<HopPeer> {
    if is_hop || !core.link.borrow().is_lost() {
        return None;
    }
    let hosts = core.hosts.borrow();
    let own_centre = &hosts.own_record().data_centre;
    let others = hosts.live_peers(Instant::now());
    let others = others.filter(|record| !tried.contains(&record.host));
    let counts = core.hop_counts.borrow();
    let open_requests = |host: &str| counts.get(host).copied().unwrap_or(0);
    let mut random = core.random.borrow_mut();
    let record = pick_hop(own_centre, others, open_requests, &mut *random)?;
    Some(HopPeer {
        host: record.host.clone(),
        address: record.hops,
    })
}
