use {
    crate::{
        permit::{
            PermitAnswer, PermitFrame, PermitSubject, grant_permit, permit_desk::owner_unknown,
        },
        shared::RelayCore,
        stage::{JobPlace, OwnerLink, PeerMessage},
    },
    slog::debug,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time within which the owner of a subject must answer; a permit that comes later is not used.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// What the owner of a subject has answered.
pub(super) struct OwnerAnswer {
    pub answer: PermitAnswer,
    /// Connection to the owner; `None` if this entry is the owner or none is known.
    pub link: Option<Rc<OwnerLink>>,
    /// True if the owner has not answered in time, and may have granted the permit.
    pub is_late: bool,
}

/// Asks the entry that owns the subject for a permit. There is none if it does not answer in time or
/// is not known.
pub async fn ask_permit(core: &RelayCore, subject: PermitSubject) -> PermitAnswer {
    ask_owner(core, subject).await.answer
}

/// Asks the entry that owns the subject for a permit.
pub(super) async fn ask_owner(core: &RelayCore, subject: PermitSubject) -> OwnerAnswer {
    let now = Instant::now();
    let at_once = |answer: PermitAnswer| OwnerAnswer {
        answer,
        link: None,
        is_late: false,
    };
    let owner_key = subject.owner_key();
    let link = match core.batch_service.job_place(core, &owner_key, now) {
        JobPlace::Here => return at_once(grant_permit(core, &subject, now)),
        JobPlace::Unknown => return at_once(owner_unknown()),
        JobPlace::Peer(link) => link,
    };
    if core.hosts.borrow().peer_schema(link.host()) < subject.schema() {
        return at_once(owner_unknown());
    }
    let (number, answer) = link.expect_permit();
    link.send(PeerMessage::Permit(PermitFrame::Ask { number, subject }));
    let result = actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await;
    let is_late = !matches!(result, Ok(Ok(_)));
    let answer = match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            debug!(core.log, "no permit in time"; "peer" => link.host());
            link.forget_permit(number);
            owner_unknown()
        }
    };
    OwnerAnswer {
        answer,
        link: Some(link),
        is_late,
    }
}
