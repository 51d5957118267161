use {
    crate::{
        dialect::StoreItem,
        shared::RelayCore,
        stage::PeerMessage,
        state::{FeedFrame, StoreReplica},
    },
    plan::StorePosition,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Time without changes after which a follower is told that the connection is alive.
pub const ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sends a follower the contents of the store from a position on, until its connection ends.
pub async fn serve_feed(
    core: Rc<RelayCore>,
    mut position: StorePosition,
    outbox: mpsc::UnboundedSender<PeerMessage>,
) {
    let mut changed = core.position_changed.subscribe();
    loop {
        let next = next_frame(&core.replica.borrow(), position);
        let frame = match next {
            Some((frame, next_position)) => {
                position = next_position;
                frame
            }
            None => FeedFrame::Alive,
        };
        if outbox.send(PeerMessage::Feed(frame)).is_err() {
            return;
        }
        // Its sender lives as long as the process.
        let _ = actix_rt::time::timeout(ALIVE_INTERVAL, changed.changed()).await;
    }
}

/// Returns the frame that brings a follower from a position to the one of this entry, and that
/// position; `None` if the follower knows as much.
fn next_frame(
    replica: &StoreReplica,
    position: StorePosition,
) -> Option<(FeedFrame, StorePosition)> {
    let known = replica.position();
    if !replica.is_watching() || known <= position {
        return None;
    }
    let changes = match known.era == position.era {
        true => replica.change_log().changes_after(position),
        false => None,
    };
    let returned_ago = replica.returned_ago(Instant::now());
    let frame = match changes {
        Some(items) => FeedFrame::Changes {
            from: position,
            to: known,
            items,
            returned_ago,
        },
        None => FeedFrame::Snapshot {
            position: known,
            items: all_items(replica),
            returned_ago,
        },
    };
    Some((frame, known))
}

fn all_items(replica: &StoreReplica) -> Vec<StoreItem> {
    let view = replica.view();
    let plan = view.plan.iter().cloned().map(StoreItem::Plan);
    let targets = view.targets.iter();
    let targets = targets.map(|(id, row)| StoreItem::Target(id.clone(), row.clone()));
    plan.chain(targets).collect()
}
