use {
    crate::{
        permit::{
            PermitAnswer, PermitFrame, PermitSubject, grant_permit, permit_desk::owner_unknown,
        },
        shared::RelayCore,
        stage::{JobPlace, PeerMessage},
    },
    slog::debug,
    std::time::{Duration, Instant},
};

/// Time within which the owner of a subject must answer; a permit that comes later is not used.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks the entry that owns the subject for a permit. There is none if it does not answer in time or
/// is not known.
pub async fn ask_permit(core: &RelayCore, subject: PermitSubject) -> PermitAnswer {
    let now = Instant::now();
    let owner_key = subject.owner_key();
    let link = match core.batch_service.job_place(core, &owner_key, now) {
        JobPlace::Here => return grant_permit(core, &subject, now),
        JobPlace::Unknown => return owner_unknown(),
        JobPlace::Peer(link) => link,
    };
    let (number, answer) = link.expect_permit();
    link.send(PeerMessage::Permit(PermitFrame::Ask { number, subject }));
    match actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            debug!(core.log, "no permit in time"; "peer" => link.host());
            link.forget_permit(number);
            owner_unknown()
        }
    }
}
