//! What all cases have: folders, the record, the store and the daemons.

use {
    crate::{
        edge_process::{EdgePlace, EdgeProcess},
        run_record::RunRecord,
        stand_replica::{ReplicaSpec, StandReplica},
        stand_store::StandStore,
    },
    std::{
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Any port of the first loopback address.
pub const ANY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CaseVerdict {
    Held,
    Broken,
}

/// Folders and switches of a case.
pub struct CaseSettings {
    /// The repository's root.
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub scratch: PathBuf,
    /// Whether the disruption comes.
    pub has_trouble: bool,
}

/// A small deployment on loopback addresses.
pub struct CaseFleet {
    pub store: Arc<StandStore>,
    pub record: Arc<RunRecord>,
    settings: CaseSettings,
    places: Vec<EdgePlace>,
}

impl CaseFleet {
    /// Starts the store, and finds places for this number of daemons.
    pub fn start(settings: CaseSettings, folder: &Path, edges: u8) -> io::Result<Self> {
        Ok(Self {
            store: StandStore::start()?,
            record: Arc::new(RunRecord::create(&folder.join("record.txt"))?),
            settings,
            places: EdgePlace::find(edges)?,
        })
    }

    /// Returns whether the disruption comes.
    pub fn has_trouble(&self) -> bool {
        self.settings.has_trouble
    }

    /// Starts a replica; `event_ms` is the time between the events of its streams.
    pub fn start_replica(
        &self,
        service: &str,
        number: u32,
        version: &str,
        event_ms: u64,
    ) -> io::Result<Arc<StandReplica>> {
        self.start_pausing_replica(service, number, version, (event_ms, 0))
    }

    /// Starts a replica whose streams wait once for the second of the times.
    pub fn start_pausing_replica(
        &self,
        service: &str,
        number: u32,
        version: &str,
        (event_ms, pause_ms): (u64, u64),
    ) -> io::Result<Arc<StandReplica>> {
        let spec = ReplicaSpec {
            address: ANY_ADDRESS,
            id: format!("i-{service}-{number}"),
            service: service.to_string(),
            version: version.to_string(),
            event_interval: Duration::from_millis(event_ms),
            pause: Duration::from_millis(pause_ms),
        };
        StandReplica::start(spec, &self.store, &self.record)
    }

    /// Starts all daemons, and waits until they are ready.
    pub fn start_edges(&self) -> io::Result<Vec<EdgeProcess>> {
        let CaseSettings { root, scratch, .. } = &self.settings;
        let numbers = 0..self.places.len();
        let edges: io::Result<Vec<EdgeProcess>> = numbers
            .map(|number| {
                EdgeProcess::start(root, scratch, number, &self.places, self.store.address)
            })
            .collect();
        let edges = edges?;
        for edge in &edges {
            edge.await_ready()?;
        }
        Ok(edges)
    }
}
