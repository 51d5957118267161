use {
    crate::{peer::NewsRepeat, shared::RelayCore},
    board::GossipDatagram,
    rand::seq::IteratorRandom,
    retry::{CRASH_LIFETIME, PartNews},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// When this entry tells its peers of parts of prompts that crash targets.
///
/// News go to all live peers at once, since each moment may cost another target. A peer that missed
/// them, or has just started, finds out by comparing digests.
#[derive(Default)]
pub struct PartGossip {
    repeat: NewsRepeat,
}

impl PartGossip {
    /// Returns the datagrams for all peers when there are news.
    pub fn on_news(&mut self, core: &RelayCore) -> Vec<GossipDatagram> {
        self.repeat.start();
        news_datagrams(core, NewsRepeat::MAX_AGE)
    }

    /// Returns the datagrams for all peers in a gossip round.
    pub fn on_round(&mut self, core: &RelayCore, now: Instant) -> Vec<GossipDatagram> {
        core.parts.borrow_mut().remove_expired(now);
        match self.repeat.is_due() {
            true => news_datagrams(core, NewsRepeat::MAX_AGE),
            false => Vec::new(),
        }
    }
}

/// Returns the addresses of all live peers.
pub fn live_peer_addresses(core: &RelayCore) -> Vec<SocketAddr> {
    let hosts = core.hosts.borrow();
    let peers = hosts.live_peers(Instant::now());
    peers.map(|record| record.peers).collect()
}

/// Returns the address of a random live peer and the request for news that this entry lacks.
pub fn part_request(core: &RelayCore) -> Option<(SocketAddr, GossipDatagram)> {
    let peers = live_peer_addresses(core).into_iter();
    let peer = peers.choose(&mut *core.random.borrow_mut())?;
    let digest = core.parts.borrow().digest();
    Some((peer, GossipDatagram::PartRequest(digest)))
}

/// Returns the answers to a peer's news of parts.
pub fn handle_news(core: &RelayCore, news: &PartNews) -> Vec<GossipDatagram> {
    let answer = PartNews {
        crashes: Vec::new(),
        proofs: core.merge_part_news(news),
    };
    let messages = answer.split().into_iter();
    messages
        .map(|message| GossipDatagram::PartProofs(message.proofs))
        .collect()
}

/// Returns the answers to a peer that asks for news and has those with this digest.
pub fn handle_request(core: &RelayCore, digest: u64) -> Vec<GossipDatagram> {
    match core.parts.borrow().digest() == digest {
        true => Vec::new(),
        false => news_datagrams(core, CRASH_LIFETIME),
    }
}

fn news_datagrams(core: &RelayCore, max_age: Duration) -> Vec<GossipDatagram> {
    let news = core.parts.borrow().news(max_age, Instant::now());
    let messages = news.split().into_iter();
    messages.map(GossipDatagram::PartNews).collect()
}
