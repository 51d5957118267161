use {
    crate::{EngineOrder, ReadingNumber},
    base::{SheetVersion, TargetId},
    std::{fmt, time::Instant},
};

/// What a planner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderAction {
    /// Read the state of an engine.
    ReadEngine {
        /// The target.
        target: TargetId,
        /// Its address, `ip:port`.
        address: String,
        /// Number of the reading.
        reading: ReadingNumber,
    },
    /// Send an order to an engine.
    SendOrder {
        /// The target.
        target: TargetId,
        /// Its address, `ip:port`.
        address: String,
        /// Number of the reading that it follows from.
        reading: ReadingNumber,
        /// The order.
        order: EngineOrder,
        /// It must not be sent after this; look at the clock right before the first byte.
        expires_at: Instant,
    },
    /// An engine has met a later sheet than the one in force here.
    NewerSheetSeen {
        /// Version of that sheet.
        version: SheetVersion,
    },
    /// Tell the operators.
    Report {
        /// The target.
        target: TargetId,
        /// What to tell.
        report: OrderReport,
    },
}

/// What operators should know of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReport {
    /// The engine is in the state that the sheet wants.
    Settled {
        /// Version of the sheet.
        version: SheetVersion,
    },
    /// The engine refused an order, because another one came first.
    Refused,
    /// The engine reports the largest fencing number there is, so that no order can follow.
    FenceSpent,
}

impl fmt::Display for OrderReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settled { version } => write!(formatter, "in the state of sheet {version}"),
            Self::Refused => formatter.write_str("another order came first"),
            Self::FenceSpent => formatter.write_str("no fencing number is left; restart it"),
        }
    }
}
