use {
    crate::{EngineOrder, ReadingNumber},
    base::{SheetVersion, TargetId},
    std::{fmt, time::Instant},
};

/// Action that the planner asks its caller to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderAction {
    /// Read the state of an engine and answer with `EngineRead` or `ReadingOrOrderFailed`.
    ReadEngine {
        /// Target whose engine is read.
        target: TargetId,
        /// Address of the target, `ip:port`.
        address: String,
        /// Number that the answer must carry.
        reading: ReadingNumber,
    },
    /// Send an order to an engine and answer with `OrderAccepted`, `OrderRefused` or
    /// `ReadingOrOrderFailed`.
    SendOrder {
        /// Target that the order is sent to.
        target: TargetId,
        /// Address of the target, `ip:port`.
        address: String,
        /// Number of the reading that the order follows from.
        reading: ReadingNumber,
        /// Order to send.
        order: EngineOrder,
        /// Time after which the order must not be sent; to be checked right before the first byte.
        expires_at: Instant,
    },
    /// Record that an engine has obeyed a later sheet than the one in force here.
    NewerSheetSeen {
        /// Version of that sheet.
        version: SheetVersion,
    },
    /// Report to the operators.
    Report {
        /// Target that the report concerns.
        target: TargetId,
        /// Content of the report.
        report: OrderReport,
    },
}

/// Report to the operators on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReport {
    /// The engine is in the state that the sheet wants.
    Settled {
        /// Version of the sheet.
        version: SheetVersion,
    },
    /// The engine refused an order because it had received another one first.
    Refused,
    /// The engine reports the largest possible fencing token, so that it would refuse any order.
    FenceSpent,
}

impl fmt::Display for OrderReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settled { version } => {
                write!(formatter, "engine reached the state of sheet {version}")
            }
            Self::Refused => formatter.write_str("engine had received another order first"),
            Self::FenceSpent => {
                formatter.write_str("no larger fencing token exists; the engine must be restarted")
            }
        }
    }
}
