use {
    crate::{GossipDatagram, GossipMessage, HostHeartbeat, PoolLoad},
    std::cmp::Reverse,
    wire::{DatagramSeal, WireError},
};

/// Number of heartbeats down to which they are left out before anything else but records of further
/// hosts is.
const MIN_HEARTBEATS: usize = 24;

/// Returns the sealed datagram of a round, or `None` if it cannot be encoded. Until it is short
/// enough, what matters least is left out.
///
/// A round that is not sent at all leaves others without news of this host, and after a loss of all
/// hosts without each other. `is_minor` selects the loads that can be done without.
///
/// ```
/// use {board::{GossipMessage, seal_shortened}, wire::DatagramSeal};
///
/// let message = GossipMessage { records: vec![], heartbeats: vec![], asked: vec![] };
/// assert!(seal_shortened(&DatagramSeal::new([7; 32]), message, |_| false).is_some());
/// ```
pub fn seal_shortened(
    seal: &DatagramSeal,
    message: GossipMessage,
    is_minor: impl Fn(&PoolLoad) -> bool,
) -> Option<Vec<u8>> {
    let mut datagram = GossipDatagram::Round(message);
    loop {
        match seal.seal(&datagram) {
            Ok(bytes) => return Some(bytes),
            Err(WireError::Codec { .. }) => return None,
            Err(WireError::TooLong { .. }) => {}
        }
        let GossipDatagram::Round(message) = &mut datagram else {
            return None;
        };
        if !shorten(message, &is_minor) {
            return None;
        }
    }
}

/// Leaves out what matters least: records of other hosts but one, heartbeats down to the minimum,
/// minor loads, the last record of another host, further heartbeats, and then loads of this entry,
/// whose record is the first one. Returns false if nothing is left to leave out.
fn shorten(message: &mut GossipMessage, is_minor: impl Fn(&PoolLoad) -> bool) -> bool {
    let heartbeat_count = message.heartbeats.len();
    if message.records.len() > 2 {
        message.records.pop();
    } else if heartbeat_count > MIN_HEARTBEATS {
        message.heartbeats.truncate(heartbeat_count * 3 / 4);
    } else if has_minor(message, &is_minor) {
        drop_minor(message, &is_minor);
    } else if message.records.len() > 1 {
        message.records.pop();
    } else if heartbeat_count > 0 {
        message.heartbeats.truncate(heartbeat_count * 3 / 4);
    } else {
        let own = message.records.first_mut();
        let Some(loads) = own.map(|own| &mut own.record.loads) else {
            return false;
        };
        if loads.is_empty() {
            return false;
        }
        loads.sort_by_key(|load| Reverse((load.unread_tokens, load.running)));
        loads.truncate(loads.len() / 2);
    }
    true
}

fn has_minor(message: &GossipMessage, is_minor: impl Fn(&PoolLoad) -> bool) -> bool {
    let loads = |heartbeat: &HostHeartbeat| heartbeat.pools.iter().any(&is_minor);
    message.heartbeats.iter().any(loads)
}

fn drop_minor(message: &mut GossipMessage, is_minor: impl Fn(&PoolLoad) -> bool) {
    for heartbeat in &mut message.heartbeats {
        heartbeat.pools.retain(|load| !is_minor(load));
    }
}
