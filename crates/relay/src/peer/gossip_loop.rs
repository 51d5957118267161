use {
    crate::{
        peer::{
            limit_gossip::LimitGossip,
            part_gossip::{
                PartGossip, handle_news, handle_request, live_peer_addresses, part_request,
            },
        },
        shared::{RelayCore, boot_time},
        stage::is_urgency_load,
        state::{LagAdvice, PeerPosition},
    },
    board::{
        EvidenceAnswer, EvidenceRefresher, EvidenceRequest, GossipDatagram, GossipMessage,
        seal_shortened,
    },
    plan::BootTime,
    slog::{debug, info},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::UdpSocket,
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES},
};

/// Delay after a socket error.
const ERROR_DELAY: Duration = Duration::from_millis(50);

/// Exchanges gossip datagrams with the other entries for as long as the process lives: sends
/// rounds, handles what arrives, and keeps the evidence of the configuration fresh.
pub async fn run_gossip(core: Rc<RelayCore>, socket: Rc<UdpSocket>, peer_key: [u8; 32]) {
    let seal = DatagramSeal::new(peer_key);
    let mut next_round = Instant::now();
    let random_seed = core.hosts.borrow().own_record().incarnation;
    let mut refresher = EvidenceRefresher::new(core.evidence_limit(), random_seed);
    let mut part_gossip = PartGossip::default();
    let mut limit_gossip = LimitGossip::default();
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        tokio::select! {
            () = actix_rt::time::sleep_until(next_round.into()) => {
                send_round(&core, &socket, &seal).await;
                next_round = Instant::now() + core.hosts.borrow().round_interval();
                refresh_evidence(&core, &mut refresher, &socket, &seal).await;
                let part_news = part_gossip.on_round(&core, Instant::now());
                broadcast(&core, &socket, &seal, &part_news).await;
                let limit_news = limit_gossip.on_round(&core, Instant::now());
                broadcast(&core, &socket, &seal, &limit_news).await;
                if let Some((address, request)) = part_request(&core) {
                    send(&core, &socket, &seal, &request, address).await;
                }
            }
            () = core.crash_news.notified() => next_round = Instant::now(),
            () = core.cleared_news.notified() => {
                let proofs = core.take_cleared_requests();
                let proofs = GossipDatagram::PartProofs(proofs);
                broadcast(&core, &socket, &seal, &[proofs]).await;
            }
            () = core.part_news.notified() => {
                let part_news = part_gossip.on_news(&core);
                broadcast(&core, &socket, &seal, &part_news).await;
            }
            () = core.limit_news.notified() => {
                let limit_news = limit_gossip.on_news(&core);
                broadcast(&core, &socket, &seal, &limit_news).await;
            }
            received = socket.recv_from(&mut bytes) => match received {
                Ok((byte_count, sender)) => {
                    for reply in handle_datagram(&core, &seal, &bytes[..byte_count], sender) {
                        send(&core, &socket, &seal, &reply, sender).await;
                    }
                }
                Err(error) => {
                    debug!(core.log, "datagram not received"; "reason" => %error);
                    actix_rt::time::sleep(ERROR_DELAY).await;
                }
            },
        }
    }
}

async fn send_round(core: &RelayCore, socket: &UdpSocket, seal: &DatagramSeal) {
    let now = Instant::now();
    core.expire_targets(now);
    core.refresh_own_record(now);
    core.apply_peer_records(now);
    core.connections.close_expired(now);
    core.control_connections.close_expired(now);
    let round = core.hosts.borrow_mut().next_round(now);
    let Some(bytes) = seal_shortened(seal, round.message, is_urgency_load) else {
        return;
    };
    for address in round.recipients {
        if let Err(error) = socket.send_to(&bytes, address).await {
            debug!(core.log, "datagram not sent"; "to" => %address, "reason" => %error);
        }
    }
}

/// Asks a peer or the store for newer evidence of the configuration, if that is due.
async fn refresh_evidence(
    core: &RelayCore,
    refresher: &mut EvidenceRefresher,
    socket: &UdpSocket,
    seal: &DatagramSeal,
) {
    heed_lag(core, Instant::now());
    let asked_at = boot_time();
    let age = evidence_age(core, refresher, asked_at);
    let decision = refresher.decide_refresh(age, &core.hosts.borrow(), Instant::now());
    // Until the store answers again others go by their own questions or by those of other entries.
    let check_store = decision.check_store || core.replica.borrow().lacks_store();
    if check_store {
        core.check_wanted.notify_one();
    }
    if let Some(address) = decision.ask_peer {
        let process = core.hosts.borrow().own_record().process_hash();
        let request = GossipDatagram::EvidenceRequest(EvidenceRequest {
            process,
            asked: asked_at,
        });
        send(core, socket, seal, &request, address).await;
    }
}

/// Returns the age of the evidence, or the one to go by while the store was read and there is none;
/// `None` before.
fn evidence_age(
    core: &RelayCore,
    refresher: &EvidenceRefresher,
    asked_at: BootTime,
) -> Option<Duration> {
    let age = core.state.borrow().evidence.age(asked_at);
    let replica = core.replica.borrow();
    let is_missing = age.is_none() && replica.is_watching();
    age.or(is_missing.then(|| {
        let usable_for = replica.could_confirm_for(Instant::now());
        refresher.age_without_evidence(usable_for)
    }))
}

/// Sends the datagrams to all live peers.
async fn broadcast(
    core: &RelayCore,
    socket: &UdpSocket,
    seal: &DatagramSeal,
    datagrams: &[GossipDatagram],
) {
    if datagrams.is_empty() {
        return;
    }
    for address in live_peer_addresses(core) {
        for datagram in datagrams {
            send(core, socket, seal, datagram, address).await;
        }
    }
}

async fn send(
    core: &RelayCore,
    socket: &UdpSocket,
    seal: &DatagramSeal,
    datagram: &GossipDatagram,
    address: SocketAddr,
) {
    let bytes = match seal.seal(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug!(core.log, "datagram not encoded"; "reason" => %error);
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, address).await {
        debug!(core.log, "datagram not sent"; "to" => %address, "reason" => %error);
    }
}

/// Handles a datagram of another entry and returns the replies to it.
fn handle_datagram(
    core: &RelayCore,
    seal: &DatagramSeal,
    bytes: &[u8],
    sender: SocketAddr,
) -> Vec<GossipDatagram> {
    match seal.open::<GossipDatagram>(bytes) {
        Ok(GossipDatagram::Round(message)) => handle_round(core, message),
        Ok(GossipDatagram::EvidenceRequest(request)) => {
            return evidence_answer(core, request).into_iter().collect();
        }
        Ok(GossipDatagram::EvidenceAnswer(answer)) => handle_evidence_answer(core, answer, sender),
        Ok(GossipDatagram::PartNews(news)) => return handle_news(core, &news),
        Ok(GossipDatagram::PartProofs(proofs)) => core.merge_part_proofs(proofs),
        Ok(GossipDatagram::LimitNews(notices)) => core.merge_limits(&notices),
        Ok(GossipDatagram::PartRequest(digest)) => return handle_request(core, digest),
        Err(reason) => debug!(core.log, "datagram dropped"; "reason" => %reason),
    }
    Vec::new()
}

fn handle_round(core: &RelayCore, message: GossipMessage) {
    let now = Instant::now();
    // The first record of a round is the sender's own.
    let sender = message
        .records
        .first()
        .map(|first| first.record.host.clone());
    if core.hosts.borrow_mut().receive(message, now) {
        let live_count = core.live_entry_count(now);
        info!(core.log, "entries changed"; "heard_from" => sender, "live" => live_count);
    }
}

/// Returns the answer to a request for this entry's evidence, or `None` while it has none or reads
/// the whole store.
fn evidence_answer(core: &RelayCore, request: EvidenceRequest) -> Option<GossipDatagram> {
    let replica = core.replica.borrow();
    if !replica.is_watching() {
        return None;
    }
    let age = replica.view().evidence.age(boot_time())?;
    let position = replica.position();
    Some(GossipDatagram::EvidenceAnswer(EvidenceAnswer {
        request,
        age,
        position,
    }))
}

/// Follows another peer or asks the store if this entry lacks for too long what a peer knows.
fn heed_lag(core: &RelayCore, now: Instant) {
    let known = core.replica.borrow().position();
    let advice = core.feed_lag.borrow_mut().advise(known, now);
    match advice {
        LagAdvice::Wait => {}
        LagAdvice::ChangeFeed => {
            debug!(core.log, "store feed lags");
            core.watch_restart.notify_one();
        }
        LagAdvice::AskStore => core.check_wanted.notify_one(),
    }
}

/// Uses a peer's evidence as this entry's own, or checks the store if the peer knows a later
/// position and the feed does not bring it.
fn handle_evidence_answer(core: &RelayCore, answer: EvidenceAnswer, sender: SocketAddr) {
    let own_process = core.hosts.borrow().own_record().process_hash();
    let Some(confirmed_at) = answer
        .confirmed_at()
        .filter(|_| answer.request.process == own_process)
    else {
        debug!(
            core.log,
            "evidence answer dropped: this process did not ask for it"
        );
        return;
    };
    let now = Instant::now();
    let mut replica = core.replica.borrow_mut();
    let answered_ago = boot_time().saturating_sub(confirmed_at);
    if let Some(answered_at) = now.checked_sub(answered_ago) {
        replica.record_sighting(answered_at);
    }
    let comparison = replica.on_peer_position(answer.position, confirmed_at, now);
    drop(replica);
    match comparison {
        PeerPosition::Later => {
            core.feed_lag.borrow_mut().record(answer.position, sender);
            heed_lag(core, now);
        }
        PeerPosition::NotLater => {
            let evidence = core.replica.borrow().view().evidence;
            core.record_evidence(evidence);
        }
    }
}
