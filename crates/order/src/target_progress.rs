use {
    crate::{OrderLimits, ReadingNumber},
    base::SheetVersion,
    std::time::Instant,
};

/// Phase of the current reading of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadingPhase {
    /// No reading is in progress; the next one is due at `until`.
    Idle { until: Instant },
    /// A reading, or the order that follows from it, is in progress.
    Busy {
        reading: ReadingNumber,
        started_at: Instant,
    },
}

/// What the owner of a target remembers about it.
#[derive(Debug, Clone)]
pub(crate) struct TargetProgress {
    owned_since: Instant,
    phase: ReadingPhase,
    /// Sheet version and time of the last order.
    last_order: Option<(SheetVersion, Instant)>,
    /// Latest sheet version whose state the engine was found in.
    pub(crate) settled_version: Option<SheetVersion>,
}

impl TargetProgress {
    /// Creates the progress of a target that is owned from now on; its first reading is due at once.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            owned_since: now,
            phase: ReadingPhase::Idle { until: now },
            last_order: None,
            settled_version: None,
        }
    }

    /// Returns true if a reading is due. A reading that takes as long as a lease is abandoned.
    pub(crate) fn is_reading_due(&self, limits: &OrderLimits, now: Instant) -> bool {
        match self.phase {
            ReadingPhase::Idle { until } => until <= now,
            ReadingPhase::Busy { started_at, .. } => started_at + limits.lease <= now,
        }
    }

    /// Records the start of a reading.
    pub(crate) fn begin_reading(&mut self, reading: ReadingNumber, now: Instant) {
        self.phase = ReadingPhase::Busy {
            reading,
            started_at: now,
        };
    }

    /// Returns the start of the reading if it is the current one and its lease has not expired.
    pub(crate) fn reading_started_at(
        &self,
        reading: ReadingNumber,
        limits: &OrderLimits,
        now: Instant,
    ) -> Option<Instant> {
        match self.phase {
            ReadingPhase::Busy {
                reading: current,
                started_at,
            } if current == reading && now < started_at + limits.lease => Some(started_at),
            _ => None,
        }
    }

    /// Ends the current reading; the next one is due at `until`.
    pub(crate) fn set_idle_until(&mut self, until: Instant) {
        self.phase = ReadingPhase::Idle { until };
    }

    /// Records that an order of a sheet was sent.
    pub(crate) fn record_order(&mut self, version: SheetVersion, now: Instant) {
        self.last_order = Some((version, now));
    }

    /// Returns the earliest time of the next order of a sheet. A new owner waits before its first
    /// order to an engine that does not check orders.
    pub(crate) fn may_order_at(
        &self,
        version: SheetVersion,
        checks_orders: bool,
        limits: &OrderLimits,
    ) -> Instant {
        let takeover_at = if checks_orders {
            self.owned_since
        } else {
            self.owned_since + limits.takeover_wait()
        };
        match self.last_order {
            Some((ordered_version, ordered_at)) if ordered_version == version => {
                takeover_at.max(ordered_at + limits.repair_pause)
            }
            _ => takeover_at,
        }
    }

    /// Returns the time at which the next reading is due or the current one expires.
    pub(crate) fn next_wakeup(&self, limits: &OrderLimits) -> Instant {
        match self.phase {
            ReadingPhase::Idle { until } => until,
            ReadingPhase::Busy { started_at, .. } => started_at + limits.lease,
        }
    }
}
