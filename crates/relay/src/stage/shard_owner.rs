use {
    crate::{
        shared::RelayCore,
        stage::{
            BatchService,
            owner_link::OwnerLink,
            shard_state::{InputsReadHook, JobOutcome},
        },
    },
    board::pick_owner,
    piece::StageJob,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Interval of checks whether the owner of a shard is still live while it runs a job.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Finding the owner of a shard, and running jobs there.
impl BatchService {
    /// Returns the link to the entry that owns the shard, and opens it if there is none.
    ///
    /// `None` if this entry owns the shard, or if the owner or its address is unknown.
    pub(super) fn owner_link(
        &self,
        core: &RelayCore,
        shard: &str,
        now: Instant,
    ) -> Option<Rc<OwnerLink>> {
        let hosts = core.hosts.borrow();
        let owner = pick_owner(shard, hosts.owner_candidates(now))?;
        if owner == hosts.own_record().host {
            return None;
        }
        let address = hosts.peer_address(owner)?;
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.is_closed());
        let link = links
            .entry(address)
            .or_insert_with(|| OwnerLink::open(owner, address, self.seal.clone(), &core.log));
        Some(Rc::clone(link))
    }

    /// Runs a job at the entry that owns the shard; `None` if that entry was lost.
    pub(super) async fn run_remote_job(
        &self,
        core: &RelayCore,
        link: &Rc<OwnerLink>,
        shard: &str,
        job: StageJob,
        on_inputs_read: &InputsReadHook,
    ) -> Option<JobOutcome> {
        let mut remote_job = link.submit(shard, job, Rc::clone(on_inputs_read));
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

/// Returns true if this entry owns the shard, or if no owner is known.
pub fn is_owner(core: &RelayCore, shard: &str, now: Instant) -> bool {
    let hosts = core.hosts.borrow();
    let owner = pick_owner(shard, hosts.owner_candidates(now));
    owner.is_none_or(|owner| owner == hosts.own_record().host)
}
