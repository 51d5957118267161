use {
    crate::{OrderLimits, ReadingNumber},
    base::SheetVersion,
    std::time::Instant,
};

/// How far the work on one target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlanPhase {
    /// Nothing is under way.
    Idle { until: Instant },
    /// A reading, or the order that follows from it, is under way.
    Busy {
        reading: ReadingNumber,
        asked_at: Instant,
    },
}

/// What the owner of a target knows of it.
#[derive(Debug, Clone)]
pub(crate) struct TargetPlan {
    owned_since: Instant,
    phase: PlanPhase,
    last_order: Option<(SheetVersion, Instant)>,
    pub(crate) settled: Option<SheetVersion>,
}

impl TargetPlan {
    /// Plan of a target that is owned from now on.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            owned_since: now,
            phase: PlanPhase::Idle { until: now },
            last_order: None,
            settled: None,
        }
    }

    /// True if a reading is due. One that takes longer than the lease is given up.
    pub(crate) fn is_reading_due(&self, limits: &OrderLimits, now: Instant) -> bool {
        match self.phase {
            PlanPhase::Idle { until } => until <= now,
            PlanPhase::Busy { asked_at, .. } => asked_at + limits.lease <= now,
        }
    }

    /// Begins a reading.
    pub(crate) fn begin(&mut self, reading: ReadingNumber, now: Instant) {
        self.phase = PlanPhase::Busy {
            reading,
            asked_at: now,
        };
    }

    /// Start of the reading if it is the one under way and its lease has not run out.
    pub(crate) fn asked_at(
        &self,
        reading: ReadingNumber,
        limits: &OrderLimits,
        now: Instant,
    ) -> Option<Instant> {
        match self.phase {
            PlanPhase::Busy {
                reading: current,
                asked_at,
            } if current == reading && now < asked_at + limits.lease => Some(asked_at),
            _ => None,
        }
    }

    /// Ends a reading; the next one begins at the given time.
    pub(crate) fn rest_until(&mut self, until: Instant) {
        self.phase = PlanPhase::Idle { until };
    }

    /// Records an order.
    pub(crate) fn ordered(&mut self, version: SheetVersion, now: Instant) {
        self.last_order = Some((version, now));
    }

    /// Earliest time of the next order of a sheet.
    pub(crate) fn may_order_at(
        &self,
        version: SheetVersion,
        checks_orders: bool,
        limits: &OrderLimits,
    ) -> Instant {
        let takeover = if checks_orders {
            self.owned_since
        } else {
            self.owned_since + limits.takeover_wait()
        };
        match self.last_order {
            Some((ordered, at)) if ordered == version => takeover.max(at + limits.repair_pause),
            _ => takeover,
        }
    }

    /// When something is due next.
    pub(crate) fn next_wakeup(&self, limits: &OrderLimits) -> Instant {
        match self.phase {
            PlanPhase::Idle { until } => until,
            PlanPhase::Busy { asked_at, .. } => asked_at + limits.lease,
        }
    }
}
