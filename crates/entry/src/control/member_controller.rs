use {
    crate::{
        control::{ControlState, member_timeline::timeline_fields},
        shared::wall_us,
    },
    base::HostList,
    member::{EntryRow, MemberAction, MemberEvent, MemberTable, MemberView, TargetStrike},
    retry::CrashTrackerSettings,
    slog::{info, warn},
    std::{
        cell::RefCell,
        collections::BTreeSet,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::UdpSocket,
    wire::{DatagramSeal, MarkSource, PeerInfo, PeerMessage, PeerRumour, StrikeVictim},
};

/// Size of the receive buffer, which is larger than any valid datagram. A datagram that is longer
/// than the buffer is truncated to its size, which the seal still drops as too long.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Shortest pause between two ticks of the table, and the pause after a failed receive.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Number of peers that a strike is sent to immediately.
const STRIKE_FAN_OUT: usize = 16;

/// Runs the member table on its UDP socket and publishes changes to the data path.
pub struct MemberController {
    state: Rc<ControlState>,
    table: RefCell<MemberTable>,
    socket: UdpSocket,
    seal: DatagramSeal,
}

impl MemberController {
    pub fn new(state: Rc<ControlState>, socket: UdpSocket, own: PeerInfo) -> Self {
        let key = state.settings.fleet_key().unwrap_or_default();
        let mut settings = state.settings.members.clone();
        settings
            .seeds
            .extend(state.settings.peers.seeds.iter().map(ToString::to_string));
        let table = MemberTable::new(settings, own, wall_us(), Instant::now());
        Self {
            state,
            table: RefCell::new(table),
            socket,
            seal: DatagramSeal::new(key),
        }
    }

    /// Receives datagrams for ever.
    pub async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                actix_rt::time::sleep(MIN_PAUSE).await;
                continue;
            };
            self.state.metrics.count("datagrams.received", 1);
            self.state
                .metrics
                .count("datagrams.received_bytes", metric_value(length));
            match self.seal.open(&buffer[..length]) {
                Ok(message) => self.on_message(message, from),
                Err(reason) => {
                    self.state
                        .metrics
                        .count(&format!("datagrams.dropped.{reason}"), 1);
                }
            }
        }
    }

    /// Ticks the table for ever, whenever its next wakeup is due.
    pub async fn run_ticks(self: Rc<Self>) {
        // `try_send_to` fails until the socket has been reported as writable once.
        let _ = self.socket.writable().await;
        loop {
            let now = Instant::now();
            let actions = self.table.borrow_mut().on_tick(now);
            self.perform_actions(actions);
            let next = self.table.borrow().next_wakeup(now);
            let pause = next
                .saturating_duration_since(Instant::now())
                .max(MIN_PAUSE);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Applies the platform's host list.
    pub fn on_host_list(&self, list: HostList) {
        let since = self.state.recorder.stamp();
        let actions = self
            .table
            .borrow_mut()
            .on_host_list(list, since, Instant::now());
        self.perform_actions(actions);
        self.publish_table_changes();
    }

    /// Announces the sheet in force to peers and applies its leaving targets.
    pub fn on_sheet(&self, version: u64, digest: &str, leaving: BTreeSet<String>) {
        let now = Instant::now();
        let since = self.state.recorder.stamp();
        let mut table = self.table.borrow_mut();
        table.set_sheet(version, wire::short_digest(digest), now);
        let actions = table.on_sheet_targets(leaving, since, now);
        drop(table);
        self.perform_actions(actions);
        self.publish_table_changes();
    }

    /// Marks a target as leaving on behalf of `source`, such as an operator.
    pub fn mark_target_leaving(&self, target: &str, source: MarkSource) {
        let since = self.state.recorder.stamp();
        let now = Instant::now();
        let actions = self
            .table
            .borrow_mut()
            .mark_target_leaving(target, source, since, now);
        self.perform_actions(actions);
    }

    /// Returns all rumours about leaving targets, for a peer that starts.
    pub fn target_rumours(&self) -> Vec<PeerRumour> {
        self.table.borrow().target_rumours()
    }

    /// Applies a peer's rumours about leaving targets.
    pub fn on_target_rumours(&self, rumours: Vec<PeerRumour>) {
        let now = Instant::now();
        let actions = self.table.borrow_mut().on_target_rumours(rumours, now);
        self.perform_actions(actions);
    }

    /// Clears the leaving marks of all sources on a target, on behalf of an operator.
    pub fn clear_target_leaving(&self, target: &str) {
        let since = self.state.recorder.stamp();
        let now = Instant::now();
        let actions = self
            .table
            .borrow_mut()
            .clear_target_leaving(target, since, now);
        self.perform_actions(actions);
    }

    /// Records that a target, the `victim`, died while it ran a request with this fingerprint;
    /// `strike_count` is the number of strikes of this victim for the fingerprint so far. Sends the
    /// strike to some peers without waiting for the next round of heartbeats.
    pub fn record_strike(&self, fingerprint: [u8; 16], victim: StrikeVictim, strike_count: u8) {
        let now = Instant::now();
        let at = self.state.recorder.stamp();
        let lifetime = CrashTrackerSettings::default().lifetime;
        let strike = TargetStrike {
            fingerprint,
            victim,
            strikes: strike_count,
            expires: now + lifetime,
        };
        self.table.borrow_mut().record_strike(strike, at, now);
        let rumours = vec![PeerRumour::Strike {
            fingerprint,
            victim,
            strikes: strike_count,
            at,
            remaining_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
        }];
        let peers = self.table.borrow().accepting_entries();
        let own = self.table.borrow().own().clone();
        for peer in peers
            .into_iter()
            .filter(|peer| peer.host != own.host)
            .take(STRIKE_FAN_OUT)
        {
            let sender = own.clone();
            let message = PeerMessage::Heartbeat {
                sender,
                stamp: at,
                rumours: rumours.clone(),
            };
            self.send(&peer.peers, message);
        }
    }

    /// Announces in all further heartbeats that this daemon is leaving.
    pub fn set_leaving(&self) {
        self.table.borrow_mut().set_leaving(Instant::now());
        self.publish_table_changes();
    }

    /// Returns the entries that still accept requests: unlike the live entries of the fleet view,
    /// these include the leaving ones.
    pub fn accepting_entries(&self) -> Vec<EntryRow> {
        self.table.borrow().accepting_entries()
    }

    /// Returns the peers of this entry, suspects included, for operators.
    pub fn members(&self) -> Vec<MemberView> {
        self.table.borrow().members(Instant::now())
    }

    fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        if let Some(stamp) = message.stamp() {
            self.state.recorder.observe(stamp);
        }
        let has_strike_rumours = has_strike_rumours(&message);
        let from = from.to_string();
        let actions = self
            .table
            .borrow_mut()
            .on_datagram(message, from, Instant::now());
        let has_changed = self.perform_actions(actions);
        if has_strike_rumours && !has_changed {
            self.publish_table_changes();
        }
    }

    /// Performs the actions of the table. Returns true if a member changed and the view was
    /// published.
    fn perform_actions(&self, actions: Vec<MemberAction>) -> bool {
        let mut has_changed = false;
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(&to, message),
                MemberAction::Changed(event) => {
                    has_changed = true;
                    self.on_event(event);
                }
            }
        }
        if has_changed {
            self.publish_table_changes();
        }
        has_changed
    }

    fn send(&self, to: &str, message: PeerMessage) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            return;
        };
        let message = message.with_stamp(self.state.recorder.stamp());
        match self.seal.seal(&message) {
            Ok(datagram) => {
                self.state.metrics.count("datagrams.sent", 1);
                self.state
                    .metrics
                    .count("datagrams.sent_bytes", metric_value(datagram.len()));
                let _ = self.socket.try_send_to(&datagram, address);
            }
            Err(error) => warn!(self.state.log, "datagram"; "error" => error.to_string()),
        }
    }

    fn on_event(&self, event: MemberEvent) {
        let (kind, member, detail) = timeline_fields(&event);
        self.state.recorder.record(kind, |timeline_event| {
            timeline_event
                .with_member(member.as_str())
                .with_detail(detail.as_str())
        });
        info!(self.state.log, "member"; "event" => kind.to_string(), "member" => member, "detail" => detail);
        match event {
            MemberEvent::SelfLeaving | MemberEvent::SelfSuperseded { .. } => {
                self.state.start_shutdown();
            }
            MemberEvent::SheetSeen {
                host,
                version,
                digest,
            } => {
                self.state
                    .notify_sheet_controller(crate::control::SheetNotice::PeerHasSheet {
                        host,
                        version,
                        digest,
                    });
            }
            _ => {}
        }
    }

    /// Copies the live entries, leaving targets and strikes of the member table to the fleet view
    /// and publishes that to the data path.
    fn publish_table_changes(&self) {
        let table = self.table.borrow();
        let entries = table.live_entries();
        let leaving_targets = table.leaving_targets();
        let strikes = table.peer_strikes(Instant::now());
        drop(table);
        self.state.update_view(|view| {
            view.entries = entries;
            view.leaving_targets = leaving_targets;
            view.strikes = strikes;
        });
    }
}

/// True if a message reports strikes, or that strikes are cleared.
fn has_strike_rumours(message: &PeerMessage) -> bool {
    let PeerMessage::Heartbeat { rumours, .. } = message else {
        return false;
    };
    rumours.iter().any(|rumour| {
        matches!(
            rumour,
            PeerRumour::Strike { .. } | PeerRumour::StrikesCleared { .. }
        )
    })
}

fn metric_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
