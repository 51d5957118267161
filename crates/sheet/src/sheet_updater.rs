use {
    crate::{
        FleetSheet, SheetAction, SheetBundle, SheetEvent, SheetIndex, SheetReport, SheetSource,
        report_book::ReportBook, sheet_standing::SheetStanding, source_plan::SourcePlan,
        start_watch::StartWatch,
    },
    base::{HostId, SheetVersion},
    std::{sync::Arc, time::Instant},
};

/// A sheet in force and what it was made of.
#[derive(Debug)]
struct SheetInForce {
    sheet: Arc<FleetSheet>,
    bundle: Arc<SheetBundle>,
    digest: String,
}

/// Decides which sheet is in force on one daemon and where to get the next one.
///
/// What holds: only a whole sheet that passed every check is put in force; the version in force
/// never falls; a sheet that is in force is replaced only by a later version. A daemon that
/// starts is not ready before it has a sheet at least as late as every version that a peer, a
/// caller or an engine has told it of.
///
/// Two operators may publish different sheets under one version at once. A daemon that has put
/// one of them in force keeps it. One that knows both and has neither takes the smaller digest if it can be had.
/// So daemons may differ until the next version is published, which resolves it everywhere; each
/// daemon that meets the other sheet reports it. That all daemons keep the same one cannot hold
/// without either shared state or taking back a sheet that is in force.
///
/// A daemon that starts out of reach of every peer, caller and engine cannot tell that the
/// service is stale; it puts in force what it is served and stops being ready if it hears of a
/// later version before any peer has confirmed its own. Peers that started in the same way may
/// agree on a stale sheet; then a caller's proof of a later one still ends it, unless one of them
/// was vouched for.
///
/// ```
/// use sheet::{SheetAction, SheetBundle, SheetEvent, SheetIndex, SheetUpdater, SheetSource};
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
    standing: SheetStanding,
    start: StartWatch,
    sources: SourcePlan,
    reports: ReportBook,
}

impl SheetUpdater {
    /// Keeper of a daemon that starts.
    pub fn new(host: impl Into<HostId>, now: Instant) -> Self {
        Self {
            in_force: None,
            standing: SheetStanding::default(),
            start: StartWatch::new(now),
            sources: SourcePlan::new(host.into()),
            reports: ReportBook::default(),
        }
    }

    /// Version in force, 0 if none.
    pub fn version(&self) -> SheetVersion {
        self.in_force
            .as_ref()
            .map_or(0, |held| held.sheet.version())
    }

    /// Digest of the sheet in force, empty if none.
    pub fn digest(&self) -> &str {
        self.in_force.as_ref().map_or("", |held| &held.digest)
    }

    /// Sheet in force.
    pub fn sheet(&self) -> Option<&Arc<FleetSheet>> {
        self.in_force.as_ref().map(|held| &held.sheet)
    }

    /// Sheet in force as peers fetch it.
    pub fn bundle(&self) -> Option<&Arc<SheetBundle>> {
        self.in_force.as_ref().map(|held| &held.bundle)
    }

    /// Latest version that was in force anywhere, as far as is known.
    pub fn latest_version(&self) -> SheetVersion {
        self.standing.latest_version()
    }

    /// True if a peer that starts may rely on the sheet in force here: a daemon that was vouched
    /// for itself said so, or the service moved on while this daemon ran.
    pub fn is_vouched(&self) -> bool {
        self.is_started() && self.standing.is_vouched()
    }

    /// True if requests may be accepted under the sheet in force.
    pub fn is_ready(&self) -> bool {
        self.in_force.is_some() && self.standing.is_trusted(self.version())
    }

    /// When to send the next tick at the latest.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let start = (!self.is_started()).then(|| self.start.next_wakeup(now));
        let times = [start, self.sources.next_wakeup(now)];
        times.into_iter().flatten().min()
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: SheetEvent, now: Instant) -> Vec<SheetAction> {
        let mut actions = Vec::new();
        match event {
            SheetEvent::PeersListed { hosts } => self.sources.peers.list(hosts),
            SheetEvent::PeerHas {
                host,
                version,
                digest,
            } => self.learn_peer(host, version, digest, &mut actions),
            SheetEvent::PeerVouches { version } => self.learn_vouch(version),
            SheetEvent::PeerFailed { host } => {
                self.start.fail(&host);
                self.sources.fail(&SheetSource::Peer(host), now);
            }
            SheetEvent::IndexRead { index } => self.learn_index(index, &mut actions),
            SheetEvent::ServiceFailed => self.sources.fail(&SheetSource::Service, now),
            SheetEvent::SeenVersion { version } => self.standing.prove(version),
            SheetEvent::PartsFetched { source, bundle } => {
                self.take_bundle(source, bundle, now, &mut actions);
            }
            SheetEvent::Tick => {}
        }
        self.sources.expire(now);
        self.plan(now, &mut actions);
        actions
    }

    fn learn_peer(
        &mut self,
        host: HostId,
        version: SheetVersion,
        digest: String,
        actions: &mut Vec<SheetAction>,
    ) {
        self.start.answer(&host, version > 0);
        self.standing.hear(version);
        if version > 0 && version == self.version() {
            self.standing.agree(version);
        }
        let source = SheetSource::Peer(host.clone());
        self.note_conflict(version, &digest, source, actions);
        self.sources.peers.learn(host, version, digest);
    }

    fn learn_vouch(&mut self, version: SheetVersion) {
        self.start.vouch();
        self.standing.hear(version);
        if version > 0 && version == self.version() {
            self.standing.vouch(version);
        }
    }

    fn learn_index(&mut self, index: SheetIndex, actions: &mut Vec<SheetAction>) {
        let digest = index.digest();
        let in_force = self.version();
        self.note_conflict(index.version, &digest, SheetSource::Service, actions);
        if index.version < in_force {
            let served = index.version;
            let report = SheetReport::StaleService { served, in_force };
            self.reports.push(report, "", actions);
        }
        self.sources.serve(index, digest);
    }

    fn note_conflict(
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
        self.reports.push(report, digest, actions);
    }

    fn take_bundle(
        &mut self,
        source: SheetSource,
        bundle: SheetBundle,
        now: Instant,
        actions: &mut Vec<SheetAction>,
    ) {
        self.sources.end_fetch(&source);
        let (version, digest) = (bundle.index.version, bundle.index.digest());
        if let SheetSource::Peer(host) = &source {
            self.learn_peer(host.clone(), version, digest.clone(), actions);
        }
        if !self.may_adopt(now) || !self.accepts(version, &digest) {
            return;
        }
        if !bundle.matches_index() {
            self.sources.fail(&source, now);
            let report = SheetReport::PartsMismatch { version, source };
            self.reports.push(report, &digest, actions);
            return;
        }
        match FleetSheet::assemble(bundle.index.clone(), &bundle.parts) {
            Ok(sheet) => self.put_in_force(sheet, bundle, digest, actions),
            Err(errors) => {
                self.reports.refuse(version, digest.clone());
                let report = SheetReport::Refused {
                    version,
                    source,
                    errors,
                };
                self.reports.push(report, &digest, actions);
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
        let moved_on = self.is_started();
        let agreed = moved_on || self.start.has_answer();
        let vouched = moved_on || self.start.is_vouched();
        self.standing.replace(version, agreed, vouched);
        self.reports.forget_up_to(version);
        self.in_force = Some(SheetInForce {
            sheet: Arc::clone(&sheet),
            bundle: Arc::new(bundle),
            digest,
        });
        actions.push(SheetAction::PutInForce { sheet });
    }

    fn is_started(&self) -> bool {
        self.in_force.is_some()
    }

    /// True unless peers still have to say which sheet they have.
    fn may_adopt(&self, now: Instant) -> bool {
        self.is_started() || self.start.is_settled(now)
    }

    /// True if a sheet may be put in force once it is whole and checked.
    fn accepts(&self, version: SheetVersion, digest: &str) -> bool {
        let late_enough = if self.is_started() {
            version > self.version()
        } else {
            version > 0 && version >= self.latest_version()
        };
        late_enough && !self.reports.is_refused(version, digest)
    }

    /// Starts what is to be done next, if anything.
    fn plan(&mut self, now: Instant, actions: &mut Vec<SheetAction>) {
        if !self.is_started() && self.start.is_ask_due(now) {
            let hosts = self.sources.next_round();
            self.start.ask(&hosts, now);
            if !hosts.is_empty() {
                actions.push(SheetAction::AskPeers { hosts });
            }
        }
        if !self.may_adopt(now) {
            return;
        }
        let offers = self
            .sources
            .offers(|version, digest| self.accepts(version, digest));
        if !self.is_started()
            && offers.is_empty()
            && self.latest_version() > 0
            && self.sources.has_index()
        {
            let report = SheetReport::LatestUnavailable {
                latest_version: self.latest_version(),
            };
            self.reports.push(report, "", actions);
        }
        actions.extend(self.sources.fetch_first(offers, now));
    }
}
