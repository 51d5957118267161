use {
    crate::{
        caller::RelayDraft,
        link::is_link_sound,
        shared::{RelayCore, part_name},
    },
    retry::{CrashKey, PartKey},
    route::ServicePick,
    setup::is_process_gone,
    slog::info,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time from the first event of an answer to another one after which the target has survived the
/// beginning of the answer.
const SURVIVAL_TIME: Duration = Duration::from_millis(100);

/// Watches whether a target survives the beginning of its answer to one request. If it does, the
/// parts of the request's prompt are sound; if its process ends before, they may be to blame.
pub struct CrashWatch {
    core: Rc<RelayCore>,
    target: String,
    address: SocketAddr,
    crash: CrashKey,
    parts: Vec<PartKey>,
    /// True if the request tries a suspect part.
    is_trial: bool,
    first_event_at: Option<Instant>,
    /// Number of times that events have arrived.
    reads: u32,
    has_survived: bool,
}

impl CrashWatch {
    /// Creates the watch of a request that is about to be sent to the picked target.
    pub fn new(
        core: &Rc<RelayCore>,
        pick: &ServicePick,
        parts: Vec<PartKey>,
        is_trial: bool,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            target: pick.target.clone(),
            address: pick.address,
            crash: core.crash_key(&pick.target),
            parts,
            is_trial,
            first_event_at: None,
            reads: 0,
            has_survived: false,
        }
    }

    /// Records that an event of the answer has arrived.
    pub fn record_event(&mut self, now: Instant) {
        self.reads += 1;
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now.saturating_duration_since(first_event_at) >= SURVIVAL_TIME {
            self.record_survival();
        }
    }

    /// Records the end of a stream. One that ends with its connection may be that of a target that
    /// crashed after the first event.
    pub fn record_end(&mut self, ends_with_connection: bool) {
        if !ends_with_connection || self.reads > 1 {
            self.record_survival();
        }
    }

    /// Records that the target has survived the beginning of the answer, as after a whole answer.
    pub fn record_survival(&mut self) {
        if !self.has_survived {
            self.has_survived = true;
            self.core.record_part_answer(&self.parts);
        }
    }

    /// Checks whether a target that lost the call has crashed. If it has, that counts against the
    /// request and the parts of its prompt, unless the target had begun to answer. A target that was
    /// about to leave ends whatever it runs.
    pub fn check_crash(&self, draft: &RelayDraft) {
        let (core, target) = (Rc::clone(&self.core), self.target.clone());
        let (address, crash, is_trial) = (self.address, self.crash, self.is_trial);
        let is_blameless = self.has_survived || core.is_leaving(&target);
        let parts = match is_blameless {
            true => Vec::new(),
            false => self.parts.clone(),
        };
        let fingerprint = draft.fingerprint();
        let request = draft.head.request_id.clone();
        let lost_at = Instant::now();
        actix_rt::spawn(async move {
            if !is_process_gone(address).await || !is_link_sound(&core, lost_at).await {
                return;
            }
            let part_names: Vec<String> = parts.iter().copied().map(part_name).collect();
            info!(core.log, "target died under a request";
                "request" => request, "target" => &target, "parts" => part_names.join(","));
            core.record_part_crash(crash, &parts, is_trial);
            if !is_blameless {
                core.record_request_crash(&[fingerprint], &target, is_trial);
            }
        });
    }
}
