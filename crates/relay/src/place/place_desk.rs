use {
    crate::{
        place::{PlaceFrame, PlaceQuestion},
        shared::RelayCore,
        stage::takes_jobs,
    },
    plan::ServiceId,
    route::{ServiceOutcome, ServicePick, ServiceQuery},
    std::{collections::HashMap, rc::Rc, time::Instant},
};

/// A request of another entry that runs at the engine chosen here.
struct OpenPlace {
    service: ServiceId,
    pick: ServicePick,
    placed_at: Instant,
    has_first_event: bool,
}

/// Places the requests of one other entry at the engines of the groups that this entry owns. When it
/// is dropped, as at the end of the connection, the requests count as ended.
pub struct PlaceDesk {
    core: Rc<RelayCore>,
    open_places: HashMap<u64, OpenPlace>,
}

impl PlaceDesk {
    /// Creates a desk without requests.
    pub fn new(core: &Rc<RelayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            open_places: HashMap::new(),
        }
    }

    /// Handles a message of the other entry and returns the answer, if there is one.
    pub fn handle(&mut self, frame: PlaceFrame) -> Option<PlaceFrame> {
        match frame {
            PlaceFrame::Ask { number, question } => {
                let pick = self.place(number, question);
                Some(PlaceFrame::Placed { number, pick })
            }
            PlaceFrame::FirstEvent { number } => {
                self.record_first_event(number);
                None
            }
            PlaceFrame::End { number, outcome } => {
                self.end(number, outcome);
                None
            }
            PlaceFrame::Placed { .. } => None,
        }
    }

    fn place(&mut self, number: u64, question: PlaceQuestion) -> Option<ServicePick> {
        let now = Instant::now();
        if !takes_jobs(&self.core, &question.group, now) {
            return None;
        }
        let pick = pick_in_group(&self.core, &question, now)?;
        if let Some(pool) = self.core.pools.borrow_mut().get_mut(&question.service) {
            pool.record_start(&pick, &question.prompt, now);
        }
        let place = OpenPlace {
            service: question.service,
            pick: pick.clone(),
            placed_at: now,
            has_first_event: false,
        };
        self.open_places.insert(number, place);
        Some(pick)
    }

    fn record_first_event(&mut self, number: u64) {
        let Some(place) = self.open_places.get_mut(&number) else {
            return;
        };
        place.has_first_event = true;
        if let Some(pool) = self.core.pools.borrow_mut().get_mut(&place.service) {
            pool.record_first_event(&place.pick, place.placed_at.elapsed());
        }
    }

    fn end(&mut self, number: u64, outcome: ServiceOutcome) {
        let Some(place) = self.open_places.remove(&number) else {
            return;
        };
        let now = Instant::now();
        if let Some(pool) = self.core.pools.borrow_mut().get_mut(&place.service) {
            let elapsed = now.saturating_duration_since(place.placed_at);
            pool.record_end(&place.pick, outcome, place.has_first_event, elapsed, now);
        }
    }
}

impl Drop for PlaceDesk {
    fn drop(&mut self) {
        let numbers: Vec<u64> = self.open_places.keys().copied().collect();
        for number in numbers {
            self.end(number, ServiceOutcome::Cancelled);
        }
    }
}

/// Chooses an engine of a group all of whose requests this entry places.
pub(super) fn pick_in_group(
    core: &RelayCore,
    question: &PlaceQuestion,
    now: Instant,
) -> Option<ServicePick> {
    let groups = core.engine_groups.borrow();
    let group = groups.get(&question.service)?.group(&question.group)?;
    let query = ServiceQuery {
        prefixes: &question.prompt,
        tried: &question.excluded,
        versions: &question.versions,
        data_centre: &question.data_centre,
        inputs: &question.inputs,
        among: Some(&group.targets),
    };
    let pools = core.pools.borrow();
    let pool = pools.get(&question.service)?;
    pool.pick(query, now, &mut *core.random.borrow_mut())
}
