use {
    crate::{
        shared::RelayCore,
        stage::{
            GatherService,
            gather_link::GatherLink,
            open_desk::{GatherEnd, ReadHook},
        },
    },
    board::pick_owner,
    piece::StageJob,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time between two looks whether the entry that gathers still lives.
const OWNER_CHECK: Duration = Duration::from_millis(200);

/// Which entry gathers, and orders at another one.
impl GatherService {
    /// Link to the entry that gathers for the pool, or none if that is this one.
    pub(super) fn owner_link(
        &self,
        core: &RelayCore,
        pool: &str,
        now: Instant,
    ) -> Option<Rc<GatherLink>> {
        let board = core.board.borrow();
        let owner = pick_owner(pool, board.owner_candidates(now))?;
        if owner == board.own_record().host {
            return None;
        }
        let address = board.peer_address(owner)?;
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.is_closed());
        let link = links
            .entry(address)
            .or_insert_with(|| GatherLink::open(owner, address, self.seal.clone(), &core.log));
        Some(Rc::clone(link))
    }

    /// End of an order at another entry, or none if that entry was lost.
    pub(super) async fn ask_owner(
        &self,
        core: &RelayCore,
        link: &Rc<GatherLink>,
        pool: &str,
        order: StageJob,
        on_read: &ReadHook,
    ) -> Option<GatherEnd> {
        let mut asked = link.ask(pool, order, Rc::clone(on_read));
        loop {
            tokio::select! {
                end = asked.wait() => return end,
                () = actix_rt::time::sleep(OWNER_CHECK) => {}
            }
            if !core.board.borrow().is_live(link.host(), Instant::now()) {
                return None;
            }
        }
    }
}

/// True if this entry gathers for the part of a pool.
pub fn is_owner(core: &RelayCore, pool: &str, now: Instant) -> bool {
    let board = core.board.borrow();
    let owner = pick_owner(pool, board.owner_candidates(now));
    owner.is_none_or(|owner| owner == board.own_record().host)
}
