use {
    crate::{
        dialect::StoreItem,
        shared::RelayCore,
        stage::{PeerMessage, PeerOutbox},
        state::{FeedFrame, StoreReplica},
    },
    plan::StorePosition,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    wire::SchemaNumber,
};

/// Time without changes after which a follower is told that the connection is alive.
pub const ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Sends a follower the contents of the store from a position on, until its connection ends; items of
/// a later schema than the given one are left out.
pub async fn serve_feed(
    core: Rc<RelayCore>,
    mut position: StorePosition,
    schema: SchemaNumber,
    outbox: PeerOutbox,
) {
    let mut changed = core.position_changed.subscribe();
    loop {
        // What is sent to a slow follower is made once it has read the message before.
        outbox.until_empty().await;
        let next = next_frame(&core.replica.borrow(), position, schema);
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
    schema: SchemaNumber,
) -> Option<(FeedFrame, StorePosition)> {
    let known = replica.position();
    if !replica.is_watching() || known <= position {
        return None;
    }
    let changes = match known.era == position.era {
        true => replica.change_log().changes_after(position),
        false => None,
    };
    let now = Instant::now();
    let returned_ago = replica.returned_ago(now);
    let is_read = |item: &StoreItem| item.schema() <= schema;
    let frame = match changes {
        Some(items) => FeedFrame::Changes {
            from: position,
            to: known,
            items: items.into_iter().filter(is_read).collect(),
            returned_ago,
        },
        None => FeedFrame::Snapshot {
            position: known,
            items: all_items(replica, now)
                .into_iter()
                .filter(is_read)
                .collect(),
            returned_ago,
        },
    };
    Some((frame, known))
}

/// Returns all that is known of the store as the items from which a follower learns it.
fn all_items(replica: &StoreReplica, now: Instant) -> Vec<StoreItem> {
    let view = replica.view();
    let plan = view.plan.iter().cloned().map(StoreItem::Plan);
    let rates = view.plan.iter();
    let rates = rates.map(|plan| StoreItem::ColdRates(plan.version, view.cold_rates.clone()));
    let targets = view.targets.iter();
    let targets = targets.map(|(id, row)| StoreItem::Target(id.clone(), row.clone()));
    let cold = view.cold_until.iter().filter(|(_, until)| **until > now);
    let cold = cold.map(|(id, until)| StoreItem::Cold(id.clone(), *until - now));
    let evacuated = view.evacuations.centres();
    let evacuated = evacuated.map(|centre| StoreItem::Evacuated(centre.to_string()));
    plan.chain(rates)
        .chain(targets)
        .chain(cold)
        .chain(evacuated)
        .collect()
}
