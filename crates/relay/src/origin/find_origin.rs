use {
    crate::{
        caller::RelayDraft,
        origin::{
            OriginFrame,
            tell_origin::{draft_attempt, holder_links},
        },
        shared::RelayCore,
        stage::PeerMessage,
    },
    route::{AttemptKey, StreamOrigin},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Number of entries that are asked, more than remember the stream: the asking entry may know other
/// hosts than the one that told them.
const MAX_ASKED: usize = 6;
/// Time within which one of them must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Where a stream began, and the host that knew.
pub struct FoundOrigin {
    pub origin: StreamOrigin,
    pub holder: String,
}

/// Returns where the stream of a request began that has brought events before.
pub async fn find_draft_origin(core: &RelayCore, draft: &RelayDraft) -> Option<StreamOrigin> {
    let found = find_origin(core, draft_attempt(draft)).await;
    found.map(|found| found.origin)
}

/// Returns where the stream began whose first event this try brought; `None` if neither this entry
/// nor another that it reaches knows.
pub async fn find_origin(core: &RelayCore, attempt: AttemptKey) -> Option<FoundOrigin> {
    let now = Instant::now();
    if let Some(origin) = core.origins.borrow().find(attempt, now) {
        let holder = core.hosts.borrow().own_record().host.clone();
        return Some(FoundOrigin { origin, holder });
    }
    let (sender, mut found) = mpsc::unbounded_channel();
    for link in holder_links(core, attempt, MAX_ASKED, now) {
        let (number, answer) = link.expect_origin();
        link.send(PeerMessage::Origin(OriginFrame::Ask { number, attempt }));
        let (link, sender) = (Rc::clone(&link), sender.clone());
        actix_rt::spawn(async move {
            let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await;
            link.forget_origin(number);
            if let Ok(Ok(Some(origin))) = answer {
                let holder = link.host().to_string();
                // Another entry may have answered before.
                let _ = sender.send(FoundOrigin { origin, holder });
            }
        });
    }
    drop(sender);
    found.recv().await
}
