use {
    crate::EngineState,
    base::{HostId, TargetId},
    sheet::FleetSheet,
    std::{sync::Arc, time::Instant},
};

/// Number of a reading; what comes of it carries the same.
pub type ReadingNumber = u64;

/// What a planner is told.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderEvent {
    /// A sheet is in force; an older one than before is ignored.
    SheetInForce {
        /// The sheet.
        sheet: Arc<FleetSheet>,
    },
    /// Hosts that are live now, with the own one.
    HostsLive {
        /// Their names.
        hosts: Vec<HostId>,
        /// When they were asked for; the answer may have lain about while this host was paused.
        asked_at: Instant,
    },
    /// An engine was read.
    EngineRead {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
        /// What it said.
        state: EngineState,
    },
    /// An engine obeyed the order that followed from a reading.
    OrderAccepted {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
    },
    /// An engine refused the order that followed from a reading.
    OrderRefused {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
    },
    /// A reading or its order failed, or the order was not sent because it was too late.
    ReadingFailed {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
    },
    /// Time has passed.
    Tick,
}
