use {
    crate::{
        shared::RelayCore,
        stage::{
            BatchService,
            job_frame::RANK_SCHEMA,
            owner_link::OwnerLink,
            shard_state::{InputsReadHook, JobOutcome},
        },
    },
    board::{HostTable, pick_owner, rank_hosts},
    piece::{JobRank, StageJob},
    slog::Logger,
    std::{
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Interval of checks whether the owner of a shard is still live while it runs a job.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a host counts as lost after a connection to it has ended.
const LOST_HOST_MEMORY: Duration = Duration::from_millis(1_000);
/// Number of hosts that take jobs for a shard: its owner and a successor.
const MAX_SHARD_HOSTS: usize = 2;

/// Where a job of a shard runs.
pub enum JobPlace {
    /// At this entry, by calls to the targets of the shard.
    Here,
    /// At the entry at the other end of the link.
    Peer(Rc<OwnerLink>),
    /// No entry that takes jobs for the shard can be reached now.
    Unknown,
}

/// Finding the owner of a shard, and running jobs there.
impl BatchService {
    /// Returns where a job of the shard runs: at the entry that owns it, or at its successor if the
    /// connection to the owner was lost a moment ago.
    pub fn job_place(&self, core: &RelayCore, shard: &str, now: Instant) -> JobPlace {
        let hosts = core.hosts.borrow();
        let owners = shard_owners(&hosts, shard, now);
        if owners.is_empty() {
            return JobPlace::Here;
        }
        self.close_lost_links(now);
        let lost_hosts = self.lost_hosts.borrow();
        let reachable = owners.iter().find(|host| !lost_hosts.contains_key(**host));
        let Some(owner) = reachable else {
            return match hosts.is_large_fleet() {
                true => JobPlace::Unknown,
                false => JobPlace::Here,
            };
        };
        if *owner == hosts.own_record().host {
            return JobPlace::Here;
        }
        let link = self.open_link(&hosts, owner, &core.log);
        link.map_or(JobPlace::Unknown, JobPlace::Peer)
    }

    /// Returns a connection to another entry; `None` if its address is not known or a connection to
    /// it was lost a moment ago.
    pub fn peer_link(&self, core: &RelayCore, host: &str, now: Instant) -> Option<Rc<OwnerLink>> {
        self.close_lost_links(now);
        let is_lost = self.lost_hosts.borrow().contains_key(host);
        match is_lost {
            true => None,
            false => self.open_link(&core.hosts.borrow(), host, &core.log),
        }
    }

    fn open_link(&self, hosts: &HostTable, host: &str, log: &Logger) -> Option<Rc<OwnerLink>> {
        let address = hosts.peer_address(host)?;
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(address)
            .or_insert_with(|| OwnerLink::open(host, address, self.seal.clone(), log));
        Some(Rc::clone(link))
    }

    /// Drops the connections that have ended, and remembers their hosts for a while.
    fn close_lost_links(&self, now: Instant) {
        let mut lost_hosts = self.lost_hosts.borrow_mut();
        lost_hosts.retain(|_, at| now.saturating_duration_since(*at) < LOST_HOST_MEMORY);
        self.links.borrow_mut().retain(|_, link| {
            if link.is_closed() {
                lost_hosts.insert(link.host().to_string(), now);
            }
            !link.is_closed()
        });
    }

    /// Runs a job at the entry that owns the shard; `None` if that entry was lost.
    pub(super) async fn run_remote_job(
        &self,
        core: &RelayCore,
        link: &Rc<OwnerLink>,
        shard: &str,
        (job, rank): (StageJob, JobRank),
        on_inputs_read: &InputsReadHook,
    ) -> Option<JobOutcome> {
        let schema = core.hosts.borrow().peer_schema(link.host());
        let rank = Some(rank).filter(|_| schema >= RANK_SCHEMA);
        let mut remote_job = link.submit(shard, job, rank, Rc::clone(on_inputs_read));
        loop {
            tokio::select! {
                outcome = remote_job.wait() => return outcome,
                () = actix_rt::time::sleep(OWNER_CHECK_INTERVAL) => {}
            }
            if !core.hosts.borrow().is_live(link.host(), Instant::now()) {
                return None;
            }
        }
    }
}

/// Returns true if this entry, with the name `own`, owns the shard, or if no owner is known.
/// `candidates` are the hosts that can own shards.
pub fn is_owner(candidates: &BTreeSet<String>, own: &str, shard: &str) -> bool {
    let owner = pick_owner(shard, candidates.iter().map(String::as_str));
    owner.is_none_or(|owner| owner == own)
}

/// Returns true if this entry takes jobs of other entries for the shard: it is the owner, or the
/// successor to which jobs go while the owner cannot be reached.
///
/// An entry with an outdated view of the fleet would otherwise have its jobs run at any host, beside
/// the owner, which then no longer knows how busy the targets are.
pub fn takes_jobs(core: &RelayCore, shard: &str, now: Instant) -> bool {
    let hosts = core.hosts.borrow();
    let owners = shard_owners(&hosts, shard, now);
    owners.is_empty() || owners.contains(&hosts.own_record().host.as_str())
}

/// Returns the owner of a shard and its successor, the same on every entry that knows the same
/// hosts.
fn shard_owners<'a>(hosts: &'a HostTable, shard: &str, now: Instant) -> Vec<&'a str> {
    rank_hosts(shard, hosts.owner_candidates(now), MAX_SHARD_HOSTS)
}
