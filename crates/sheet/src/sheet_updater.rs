use {
    crate::{
        FleetSheet, SheetAction, SheetBundle, SheetEvent, SheetIndex, SheetReport, SheetSource,
        fetch_scheduler::FetchScheduler, report_history::ReportHistory, sheet_trust::SheetTrust,
        startup_wait::StartupWait,
    },
    base::{HostId, SheetVersion},
    std::{sync::Arc, time::Instant},
};

/// The sheet in force with the texts that it was assembled from.
#[derive(Debug)]
struct SheetInForce {
    sheet: Arc<FleetSheet>,
    bundle: Arc<SheetBundle>,
    digest: String,
}

/// Decides which sheet is in force on one daemon and where to get the next one.
///
/// Invariants: only a complete sheet that passed every check is put in force, and a sheet in force
/// is replaced only by a later version. A starting daemon is not ready until it has a sheet at
/// least as late as every version that a peer, a caller or an engine reported.
///
/// Two operators may publish different sheets under the same version at once. A daemon that has
/// put one of them in force keeps it; a daemon that knows both and has neither takes the one with
/// the smaller digest if a source has it. Daemons may therefore differ until the next version is
/// published, and each daemon that meets the other sheet reports it. Keeping all daemons on the
/// same sheet would need shared state or the withdrawal of a sheet that is in force.
///
/// A daemon that starts while it reaches no peer, caller or engine cannot tell whether the
/// configuration service is stale. It puts in force what the service serves, and stops being ready
/// if it learns of a later version before any peer has confirmed the one in force here. Peers that
/// started in the same way may agree on a stale sheet; a caller's proof of a later version still
/// makes them unready, unless one of them was vouched for.
///
/// ```
/// use sheet::{SheetAction, SheetBundle, SheetEvent, SheetIndex, SheetSource, SheetUpdater};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut updater = SheetUpdater::new("h1", start);
/// let now = start + Duration::from_secs(2);
/// let index = SheetIndex { version: 4, part: Vec::new() };
/// let actions = updater.handle(SheetEvent::IndexRead { index: index.clone() }, now);
/// assert_eq!(actions, [SheetAction::FetchParts { index: index.clone() }]);
///
/// let bundle = SheetBundle { index, parts: Vec::new() };
/// let event = SheetEvent::PartsFetched { source: SheetSource::Service, bundle };
/// let actions = updater.handle(event, now);
/// assert!(matches!(actions[0], SheetAction::PutInForce { .. }));
/// assert_eq!((updater.version(), updater.is_ready()), (4, true));
/// ```
#[derive(Debug)]
pub struct SheetUpdater {
    in_force: Option<SheetInForce>,
    trust: SheetTrust,
    startup: StartupWait,
    fetches: FetchScheduler,
    reports: ReportHistory,
}

impl SheetUpdater {
    /// Creates the updater of a daemon that starts on this host.
    pub fn new(host: impl Into<HostId>, now: Instant) -> Self {
        Self {
            in_force: None,
            trust: SheetTrust::default(),
            startup: StartupWait::new(now),
            fetches: FetchScheduler::new(host.into()),
            reports: ReportHistory::default(),
        }
    }

    /// Returns the version in force, 0 if none.
    pub fn version(&self) -> SheetVersion {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.sheet.version())
    }

    /// Returns the digest of the sheet in force, empty if none.
    pub fn digest(&self) -> &str {
        self.in_force
            .as_ref()
            .map_or("", |in_force| &in_force.digest)
    }

    /// Returns the sheet in force; `None` before the first one.
    pub fn sheet(&self) -> Option<&Arc<FleetSheet>> {
        self.in_force.as_ref().map(|in_force| &in_force.sheet)
    }

    /// Returns the sheet in force in the form in which peers fetch it.
    pub fn bundle(&self) -> Option<&Arc<SheetBundle>> {
        self.in_force.as_ref().map(|in_force| &in_force.bundle)
    }

    /// Returns the latest version known to have been in force anywhere, 0 if none.
    pub fn latest_version(&self) -> SheetVersion {
        self.trust.latest_version()
    }

    /// Returns true if a starting peer may rely on the sheet in force here: a vouched peer
    /// confirmed it, or this daemon has moved to a later sheet while it ran.
    pub fn is_vouched(&self) -> bool {
        self.has_sheet() && self.trust.is_vouched()
    }

    /// Returns true if requests may be accepted under the sheet in force.
    pub fn is_ready(&self) -> bool {
        self.in_force.is_some() && self.trust.is_trusted(self.version())
    }

    /// Returns the time by which the next [`SheetEvent::Tick`] is due; `None` if none is needed.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let startup_wakeup = (!self.has_sheet()).then(|| self.startup.next_wakeup(now));
        let times = [startup_wakeup, self.fetches.next_wakeup(now)];
        times.into_iter().flatten().min()
    }

    /// Handles an event and returns the actions that the caller is to perform.
    pub fn handle(&mut self, event: SheetEvent, now: Instant) -> Vec<SheetAction> {
        let mut actions = Vec::new();
        match event {
            SheetEvent::PeersListed { hosts } => self.fetches.peers.replace_list(hosts),
            SheetEvent::PeerHasSheet {
                host,
                version,
                digest,
            } => self.record_peer(host, version, digest, &mut actions),
            SheetEvent::PeerVouches { version } => self.record_vouch(version),
            SheetEvent::PeerFailed { host } => {
                self.startup.record_failure(&host);
                self.fetches.record_failure(&SheetSource::Peer(host), now);
            }
            SheetEvent::IndexRead { index } => self.record_index(index, &mut actions),
            SheetEvent::ServiceFailed => self.fetches.record_failure(&SheetSource::Service, now),
            SheetEvent::SeenVersion { version } => self.trust.record_proof(version),
            SheetEvent::PartsFetched { source, bundle } => {
                self.adopt_bundle(source, bundle, now, &mut actions);
            }
            SheetEvent::Tick => {}
        }
        self.fetches.expire_fetch(now);
        self.plan_actions(now, &mut actions);
        actions
    }

    fn record_peer(
        &mut self,
        host: HostId,
        version: SheetVersion,
        digest: String,
        actions: &mut Vec<SheetAction>,
    ) {
        self.startup.record_answer(&host, version > 0);
        self.trust.record_version(version);
        if version > 0 && version == self.version() {
            self.trust.record_agreement(version);
        }
        let source = SheetSource::Peer(host.clone());
        self.report_conflict(version, &digest, source, actions);
        self.fetches.peers.record_sheet(host, version, digest);
    }

    fn record_vouch(&mut self, version: SheetVersion) {
        self.startup.record_vouch();
        self.trust.record_version(version);
        if version > 0 && version == self.version() {
            self.trust.record_vouch(version);
        }
    }

    fn record_index(&mut self, index: SheetIndex, actions: &mut Vec<SheetAction>) {
        let digest = index.digest();
        let in_force = self.version();
        self.report_conflict(index.version, &digest, SheetSource::Service, actions);
        if index.version < in_force {
            let served = index.version;
            let report = SheetReport::StaleService { served, in_force };
            self.reports.report_once(report, "", actions);
        }
        self.fetches.record_index(index, digest);
    }

    fn report_conflict(
        &mut self,
        version: SheetVersion,
        digest: &str,
        source: SheetSource,
        actions: &mut Vec<SheetAction>,
    ) {
        if version == 0 || version != self.version() || digest == self.digest() {
            return;
        }
        let report = SheetReport::Conflict {
            version,
            in_force: self.digest().to_string(),
            other: digest.to_string(),
            source,
        };
        self.reports.report_once(report, digest, actions);
    }

    fn adopt_bundle(
        &mut self,
        source: SheetSource,
        bundle: SheetBundle,
        now: Instant,
        actions: &mut Vec<SheetAction>,
    ) {
        self.fetches.end_fetch(&source);
        let (version, digest) = (bundle.index.version, bundle.index.digest());
        if let SheetSource::Peer(host) = &source {
            self.record_peer(host.clone(), version, digest.clone(), actions);
        }
        if !self.may_adopt(now) || !self.accepts(version, &digest) {
            return;
        }
        if !bundle.matches_index() {
            self.fetches.record_failure(&source, now);
            let report = SheetReport::PartsMismatch { version, source };
            self.reports.report_once(report, &digest, actions);
            return;
        }
        match FleetSheet::assemble(bundle.index.clone(), &bundle.parts) {
            Ok(sheet) => self.put_in_force(sheet, bundle, digest, actions),
            Err(errors) => {
                self.reports.record_refusal(version, digest.clone());
                let report = SheetReport::Refused {
                    version,
                    source,
                    errors,
                };
                self.reports.report_once(report, &digest, actions);
            }
        }
    }

    fn put_in_force(
        &mut self,
        sheet: FleetSheet,
        bundle: SheetBundle,
        digest: String,
        actions: &mut Vec<SheetAction>,
    ) {
        let sheet = Arc::new(sheet);
        let version = sheet.version();
        let is_update = self.has_sheet();
        let agreed = is_update || self.startup.has_answer();
        let vouched = is_update || self.startup.is_vouched();
        self.trust.reset(version, agreed, vouched);
        self.reports.forget_up_to(version);
        self.in_force = Some(SheetInForce {
            sheet: Arc::clone(&sheet),
            bundle: Arc::new(bundle),
            digest,
        });
        actions.push(SheetAction::PutInForce { sheet });
    }

    /// Returns true if a sheet is in force.
    fn has_sheet(&self) -> bool {
        self.in_force.is_some()
    }

    /// Returns true unless this daemon is starting and still waits for its peers to report their
    /// sheets.
    fn may_adopt(&self, now: Instant) -> bool {
        self.has_sheet() || self.startup.is_over(now)
    }

    /// Returns true if the sheet may be put in force once it is complete and has passed its checks.
    fn accepts(&self, version: SheetVersion, digest: &str) -> bool {
        let is_late_enough = if self.has_sheet() {
            version > self.version()
        } else {
            version > 0 && version >= self.latest_version()
        };
        is_late_enough && !self.reports.is_refused(version, digest)
    }

    /// Adds the next questions to peers and the next fetch to the actions if they are due.
    fn plan_actions(&mut self, now: Instant, actions: &mut Vec<SheetAction>) {
        if !self.has_sheet() && self.startup.is_round_due(now) {
            let hosts = self.fetches.next_peers();
            self.startup.start_round(&hosts, now);
            if !hosts.is_empty() {
                actions.push(SheetAction::AskPeers { hosts });
            }
        }
        if !self.may_adopt(now) {
            return;
        }
        let offers = self
            .fetches
            .offers(|version, digest| self.accepts(version, digest));
        if !self.has_sheet()
            && offers.is_empty()
            && self.latest_version() > 0
            && self.fetches.has_index()
        {
            let report = SheetReport::LatestUnavailable {
                latest_version: self.latest_version(),
            };
            self.reports.report_once(report, "", actions);
        }
        actions.extend(self.fetches.start_fetch(offers, now));
    }
}
