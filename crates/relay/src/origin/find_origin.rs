use {
    crate::{
        caller::RelayDraft,
        origin::{
            OriginFrame,
            tell_origin::{HOLDER_COUNT, draft_attempt, holder_links},
        },
        shared::RelayCore,
        stage::{OwnerLink, PeerMessage},
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
    /// Its version is `None` if it is in doubt.
    pub origin: StreamOrigin,
    pub holder: String,
}

/// Outcome of a search for where a stream began.
pub enum OriginSearch {
    Found(FoundOrigin),
    /// None of the entries that may remember it does.
    Unknown,
    /// So many entries did not answer that they may be all those that remember it.
    Unanswered,
}

/// What one entry says of where a stream began.
enum HolderAnswer {
    Knows(FoundOrigin),
    Ignorant,
    Silent,
}

/// Returns where the stream of a request began that has brought events before; `None` if that is not
/// known.
pub async fn find_draft_origin(core: &RelayCore, draft: &RelayDraft) -> Option<StreamOrigin> {
    match find_origin(core, draft_attempt(draft)).await {
        OriginSearch::Found(found) => Some(found.origin),
        OriginSearch::Unknown | OriginSearch::Unanswered => None,
    }
}

/// Searches for where the stream began whose first event this try brought, here and at the entries
/// that may remember it.
pub async fn find_origin(core: &RelayCore, attempt: AttemptKey) -> OriginSearch {
    let now = Instant::now();
    if let Some(origin) = core.origins.borrow().find(attempt, now) {
        let holder = core.hosts.borrow().own_record().host.clone();
        return OriginSearch::Found(FoundOrigin { origin, holder });
    }
    let links = holder_links(core, attempt, MAX_ASKED, now);
    let asked_count = links.len();
    let (sender, mut answers) = mpsc::unbounded_channel();
    for link in links {
        let sender = sender.clone();
        actix_rt::spawn(async move {
            // Another entry may have answered before.
            let _ = sender.send(ask_holder(link, attempt).await);
        });
    }
    drop(sender);
    let mut silent_count = 0;
    while let Some(answer) = answers.recv().await {
        match answer {
            HolderAnswer::Knows(found) => return OriginSearch::Found(found),
            HolderAnswer::Ignorant => {}
            HolderAnswer::Silent => silent_count += 1,
        }
    }
    match silent_count > 0 && silent_count >= HOLDER_COUNT.min(asked_count) {
        true => OriginSearch::Unanswered,
        false => OriginSearch::Unknown,
    }
}

async fn ask_holder(link: Rc<OwnerLink>, attempt: AttemptKey) -> HolderAnswer {
    let (number, answer) = link.expect_origin();
    link.send(PeerMessage::Origin(OriginFrame::Ask { number, attempt }));
    let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await;
    link.forget_origin(number);
    match answer {
        Ok(Ok(Some(origin))) => HolderAnswer::Knows(FoundOrigin {
            origin,
            holder: link.host().to_string(),
        }),
        Ok(Ok(None)) => HolderAnswer::Ignorant,
        Ok(Err(_)) | Err(_) => HolderAnswer::Silent,
    }
}
