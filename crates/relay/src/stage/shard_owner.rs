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

/// Time between two checks whether the owner of a shard is still live.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Ownership of shards, and jobs at other entries that own one.
impl BatchService {
    /// Returns the link to the entry that owns the shard, which is opened if there is none.
    ///
    /// `None` if this entry owns the shard, or if no owner or no address of it is known.
    pub(super) fn owner_link(
        &self,
        core: &RelayCore,
        shard: &str,
        now: Instant,
    ) -> Option<Rc<OwnerLink>> {
        let board = core.hosts.borrow();
        let owner = pick_owner(shard, board.owner_candidates(now))?;
        if owner == board.own_record().host {
            return None;
        }
        let address = board.peer_address(owner)?;
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

/// True if this entry owns the shard, or if no owner is known.
pub fn is_owner(core: &RelayCore, shard: &str, now: Instant) -> bool {
    let board = core.hosts.borrow();
    let owner = pick_owner(shard, board.owner_candidates(now));
    owner.is_none_or(|owner| owner == board.own_record().host)
}
