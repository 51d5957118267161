use {
    crate::{peer::NewsRepeat, shared::RelayCore},
    board::GossipDatagram,
    std::time::Instant,
};

/// Maximum number of limits in one datagram; so many fit in one, with ids of 100 bytes.
const MAX_RECORDS: usize = 8;

/// When this entry tells its peers of limits that targets named.
///
/// A peer that misses them hears of a limit with its own first answer of the target.
#[derive(Default)]
pub struct LimitGossip {
    repeat: NewsRepeat,
}

impl LimitGossip {
    /// Returns the datagrams for all peers when there are news.
    pub fn on_news(&mut self, core: &RelayCore) -> Vec<GossipDatagram> {
        self.repeat.start();
        news_datagrams(core)
    }

    /// Returns the datagrams for all peers in a gossip round.
    pub fn on_round(&mut self, core: &RelayCore, now: Instant) -> Vec<GossipDatagram> {
        core.limits.borrow_mut().remove_expired(now);
        match self.repeat.is_due() {
            true => news_datagrams(core),
            false => Vec::new(),
        }
    }
}

fn news_datagrams(core: &RelayCore) -> Vec<GossipDatagram> {
    let notices = core.limits.borrow();
    let notices = notices.news(NewsRepeat::MAX_AGE, Instant::now());
    let messages = notices.chunks(MAX_RECORDS);
    messages
        .map(|notices| GossipDatagram::LimitNews(notices.to_vec()))
        .collect()
}
