use {
    crate::{
        place::{PlaceFrame, PlaceQuestion, place_desk::pick_in_group},
        shared::RelayCore,
        stage::{JobPlace, OwnerLink, PeerMessage},
    },
    route::{EngineGroup, PrefixKey, ServiceOutcome, ServicePick},
    slog::debug,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time within which the owner of a group must answer; afterwards the entry chooses for itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// A place for a request at an engine that the owner of its group has chosen. Dropping it tells the
/// owner that the request has ended.
pub struct RemotePlace {
    link: Rc<OwnerLink>,
    number: u64,
    outcome: ServiceOutcome,
}

impl RemotePlace {
    /// Tells the owner that the first event of the answer has arrived.
    pub fn record_first_event(&self) {
        self.send(PlaceFrame::FirstEvent {
            number: self.number,
        });
    }

    /// Sets the outcome that the owner is told when the place is dropped.
    pub fn set_outcome(&mut self, outcome: ServiceOutcome) {
        self.outcome = outcome;
    }

    fn send(&self, frame: PlaceFrame) {
        self.link.send(PeerMessage::Place(frame));
    }
}

impl Drop for RemotePlace {
    fn drop(&mut self) {
        self.send(PlaceFrame::End {
            number: self.number,
            outcome: self.outcome,
        });
    }
}

/// Returns the group of engines to which a prompt belongs; `None` if the service has no engines.
pub fn prompt_group(
    core: &RelayCore,
    service: &str,
    prompt: &[(PrefixKey, u32)],
) -> Option<EngineGroup> {
    // The last part is the request's own; what comes before is shared with other requests.
    let (_, shared) = prompt.split_last()?;
    let (key, _) = shared.last().or(prompt.last())?;
    let groups = core.engine_groups.borrow();
    groups.get(service)?.group_of(*key).cloned()
}

/// Has the owner of a group choose an engine for a request. Returns no place if this entry owns the
/// group itself, and nothing if no engine was chosen in time.
///
/// An entry by itself knows little of an engine's load and cache: what peers tell is some requests
/// old, and in a large fleet it sends an engine a request only now and then. The owner of a group
/// knows both, since it places all requests there.
pub async fn ask_place(
    core: &RelayCore,
    question: PlaceQuestion,
) -> Option<(ServicePick, Option<RemotePlace>)> {
    let now = Instant::now();
    let job_place = core.batch_service.job_place(core, &question.group, now);
    let link = match job_place {
        JobPlace::Here => return pick_in_group(core, &question, now).map(|pick| (pick, None)),
        JobPlace::Unknown => return None,
        JobPlace::Peer(link) => link,
    };
    let (number, answer) = link.expect_place();
    // Tells the owner that the request has ended, should the answer come too late.
    let place = RemotePlace {
        link: Rc::clone(&link),
        number,
        outcome: ServiceOutcome::Cancelled,
    };
    place.send(PlaceFrame::Ask { number, question });
    match actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(pick)) => pick.map(|pick| (pick, Some(place))),
        Ok(Err(_)) | Err(_) => {
            debug!(core.log, "no place in time"; "peer" => link.host());
            link.forget_place(number);
            None
        }
    }
}
