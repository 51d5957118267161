use {
    crate::EngineState,
    base::{HostId, TargetId},
    sheet::FleetSheet,
    std::{sync::Arc, time::Instant},
};

/// Number of a reading; the events that result from the reading carry it.
pub type ReadingNumber = u64;

/// Input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderEvent {
    /// A sheet is in force. The event is ignored unless the sheet is later than the previous one.
    SheetInForce {
        /// The sheet.
        sheet: Arc<FleetSheet>,
    },
    /// The list of live hosts was read; it includes this host.
    HostsLive {
        /// Names of the hosts.
        hosts: Vec<HostId>,
        /// When the read of the list began. The list expires one lease later, since it may be old
        /// if this host was paused in between.
        asked_at: Instant,
    },
    /// The state of an engine was read.
    EngineRead {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
        /// State that the engine reported.
        state: EngineState,
    },
    /// An engine accepted the order that followed from a reading.
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
    /// A reading or its order failed, or the order was not sent because it had expired.
    ReadingOrOrderFailed {
        /// The target.
        target: TargetId,
        /// Number of the reading.
        reading: ReadingNumber,
    },
    /// A timer fired; see [`next_wakeup`](crate::OrderPlanner::next_wakeup).
    Tick,
}
