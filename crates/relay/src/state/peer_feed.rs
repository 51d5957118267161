use {
    crate::{
        dialect::{KEY_RULE_SCHEMA, StoreChanges},
        shared::RelayCore,
        stage::{PeerMessage, PeerOutbox, read_frames, write_frames},
        state::{FeedFrame, StoreReplica, feed_server::ALIVE_INTERVAL, store_reader::publish_view},
        target::{PEER_PATIENCE, configure_socket},
    },
    board::{feed_sources, store_checkers},
    slog::{debug, info},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

/// Time within which the connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which the peer counts as lost.
const SILENCE_TIMEOUT: Duration = ALIVE_INTERVAL.saturating_mul(2);
/// Interval of checks whether this entry should still follow the peer.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A peer that watches the store for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedSource {
    /// Name of the peer's host.
    pub host: String,
    /// Address at which the peer listens for entries.
    pub address: SocketAddr,
}

/// Returns the peer from which this entry should learn what changes in the store; `None` if it
/// should watch the store itself: in a small fleet, while no such peer is known, and if this entry
/// is one of those that watch it for others.
///
/// Watches of all entries of a large fleet would load the store in proportion to the fleet with
/// each change.
pub fn feed_source(core: &RelayCore, now: Instant) -> Option<FeedSource> {
    let hosts = core.hosts.borrow();
    if !hosts.is_large_fleet() {
        return None;
    }
    let checkers = store_checkers(&hosts, now);
    let own = hosts.own_record();
    let preferred = core.feed_lag.borrow().preferred(now);
    if checkers.contains(&own.host.as_str()) && preferred.is_none() {
        return None;
    }
    let sources = feed_sources(&hosts, KEY_RULE_SCHEMA, now);
    if sources.is_empty() {
        return None;
    }
    // Each host keeps to one of them, so that they share the followers.
    let own_choice = sources[own.process_hash() as usize % sources.len()];
    let ahead = sources
        .iter()
        .find(|host| preferred.is_some() && hosts.peer_address(host) == preferred);
    let chosen = ahead.copied().unwrap_or(own_choice);
    Some(FeedSource {
        host: chosen.to_string(),
        address: hosts.peer_address(chosen)?,
    })
}

/// Follows a peer until the connection is lost, another peer should be followed, or a check has
/// shown that the peer misses changes.
pub async fn follow_peer(core: &Rc<RelayCore>, source: &FeedSource) {
    let outcome = tokio::select! {
        outcome = receive_feed(core, source) => outcome,
        () = core.watch_restart.notified() => Ok(()),
        () = wait_until_replaced(core, source) => Ok(()),
    };
    if let Err(reason) = outcome {
        info!(core.log, "store feed lost"; "peer" => &source.host, "reason" => %reason);
    }
}

async fn receive_feed(core: &Rc<RelayCore>, source: &FeedSource) -> anyhow::Result<()> {
    let connect = TcpStream::connect(source.address);
    let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await??;
    configure_socket(&stream, PEER_PATIENCE, &core.log);
    let (reader, writer) = stream.into_split();
    let (outbox, inbox) = PeerOutbox::open();
    let position = core.replica.borrow().position();
    let follow = PeerMessage::Feed(FeedFrame::FollowAll { position });
    let sent = outbox.send(follow);
    sent.map_err(|_| anyhow::anyhow!("the connection has ended"))?;
    debug!(core.log, "store feed opened"; "peer" => &source.host);
    let last_heard = std::cell::Cell::new(Instant::now());
    let seal = core.batch_service.seal.clone();
    let reading = read_frames(reader, &seal, |message| {
        last_heard.set(Instant::now());
        if let PeerMessage::Feed(frame) = message {
            apply_frame(core, frame);
        }
    });
    tokio::select! {
        outcome = write_frames(writer, &seal, inbox) => outcome,
        outcome = reading => outcome,
        () = wait_for_silence(&last_heard) => Err(anyhow::anyhow!("the peer is silent")),
    }
}

async fn wait_for_silence(last_heard: &std::cell::Cell<Instant>) {
    while last_heard.get().elapsed() < SILENCE_TIMEOUT {
        actix_rt::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

async fn wait_until_replaced(core: &RelayCore, source: &FeedSource) {
    while feed_source(core, Instant::now()).as_ref() == Some(source) {
        actix_rt::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

fn apply_frame(core: &RelayCore, frame: FeedFrame) {
    let now = Instant::now();
    let mut replica = core.replica.borrow_mut();
    match frame {
        FeedFrame::Changes {
            from,
            to,
            items,
            returned_ago,
        } => {
            let revision = to.revision;
            let changes = StoreChanges { items, revision };
            record_return(&mut replica, returned_ago, now);
            replica.on_peer_changes(from, changes, to.era, now);
        }
        FeedFrame::Snapshot {
            position,
            items,
            returned_ago,
        } => {
            record_return(&mut replica, returned_ago, now);
            replica.on_peer_snapshot(position, items, now);
        }
        FeedFrame::Follow { .. } | FeedFrame::FollowAll { .. } | FeedFrame::Alive => return,
    }
    drop(replica);
    publish_view(core, now);
}

fn record_return(replica: &mut StoreReplica, returned_ago: Option<Duration>, now: Instant) {
    if let Some(returned_ago) = returned_ago {
        replica.on_peer_return(returned_ago, now);
    }
}
