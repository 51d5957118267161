use {
    crate::{
        RelaySettings,
        shared::{RelayCore, RelayPhase},
    },
    board::{HostMark, HostRecord, TargetLoad},
    route::{ServicePool, TargetWork},
    std::{collections::HashMap, time::Instant},
    wire::NEWEST_SCHEMA,
};

/// What this entry tells its peers and learns from them.
impl RelayCore {
    /// Returns the record of a process that has just started.
    pub(super) fn new_record(settings: &RelaySettings, incarnation: u64) -> HostRecord {
        HostRecord {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            sequence: 0,
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            hops: settings.listen.hop_address(),
            core_share: (settings.core_share * 1_000.0) as u32,
            ready: false,
            reaches_targets: true,
            leaving: false,
            settled: false,
            plan_version: 0,
            loads: Vec::new(),
            pools: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Updates the record that the next gossip round sends to other entries.
    pub fn refresh_own_record(&self, now: Instant) {
        let ready = self.is_ready();
        let loads = match self.hosts.borrow().is_large_fleet() {
            true => Vec::new(),
            false => self.own_loads(),
        };
        let pool_loads = self
            .batch_service
            .own_pool_loads(&self.urgencies.borrow(), now);
        let mark = HostMark {
            schema: NEWEST_SCHEMA,
            lacks_store: self.replica.borrow().lacks_store(),
        };
        let crashes = self.reported_crashes(now);
        let mut hosts = self.hosts.borrow_mut();
        let own = hosts.own_record_mut();
        own.ready = ready;
        own.reaches_targets = !self.link.borrow().is_lost();
        own.leaving = self.phase.get() == RelayPhase::Leaving;
        own.plan_version = self.plan().map_or(0, |plan| plan.version);
        own.loads = loads;
        own.pools = pool_loads;
        own.pools.push(mark.to_load());
        own.crashes = crashes;
    }

    /// Applies the loads and crashes that other entries reported.
    pub fn apply_peer_records(&self, now: Instant) {
        let hosts = self.hosts.borrow();
        let mut work_by_target: HashMap<u64, TargetWork> = HashMap::new();
        // In a large fleet a record reaches an entry too seldom to tell the load of now.
        let has_loads = !hosts.is_large_fleet();
        for record in hosts.live_peers(now) {
            for load in record.loads.iter().filter(|_| has_loads) {
                let work = work_by_target.entry(load.target).or_default();
                work.running = work.running.saturating_add(load.running);
                work.unread_tokens = work.unread_tokens.saturating_add(load.unread_tokens);
            }
        }
        self.merge_crashes(&hosts, now);
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_peer_work(&work_by_target);
        }
        let latest_plan = hosts.latest_peer_plan(now);
        let mut replica = self.replica.borrow_mut();
        replica.on_peer_plan(latest_plan, now);
        replica.heed_peers(hosts.live_peers(now).next().is_some(), now);
        self.record_evidence(replica.view().evidence);
        drop(replica);
        if !self.can_reject_unknown() {
            self.version_history.borrow_mut().interrupt(now);
        }
    }

    fn own_loads(&self) -> Vec<TargetLoad> {
        let pools = self.pools.borrow();
        let work = pools.values().flat_map(ServicePool::own_work);
        work.map(|(target, work)| TargetLoad {
            target,
            running: work.running,
            unread_tokens: work.unread_tokens,
        })
        .collect()
    }
}
