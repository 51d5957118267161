use {
    crate::shared::part_name,
    limit::LimitNotice,
    retry::PartKey,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// Schema from which on permits for calls to cold targets are asked for.
const COLD_SCHEMA: SchemaNumber = 2;

/// What a permit allows. Of each subject one entry gives out the permits for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitSubject {
    /// To send a request with these parts, of which some are suspect, as a trial.
    Trial {
        /// The suspect part by which the owner is chosen.
        part: PartKey,
        /// All shared parts of the request's prompt.
        parts: Vec<PartKey>,
    },
    /// To send one call to a limited target.
    Call {
        /// What the target said last of its limit, as far as the asking entry knows.
        notice: LimitNotice,
    },
    /// To have one call at a brittle target, until it is released.
    Room {
        /// Id of the target.
        target: String,
        /// Number of calls that the target works on at the same time.
        slots: u32,
    },
    /// To send one call to a cold target.
    Cold {
        /// Id of the target.
        target: String,
        /// Mean interval between calls of all entries, as far as the asking entry knows.
        interval: Duration,
    },
}

impl PermitSubject {
    /// Returns the name by which the owner of the subject is chosen.
    pub fn owner_key(&self) -> String {
        match self {
            Self::Trial { part, .. } => format!("part/{}", part_name(*part)),
            Self::Call { notice } => format!("target/{}", notice.target),
            Self::Room { target, .. } | Self::Cold { target, .. } => format!("target/{target}"),
        }
    }

    /// Returns the lowest schema that has this subject.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::Trial { .. } | Self::Call { .. } | Self::Room { .. } => OLDEST_SCHEMA,
            Self::Cold { .. } => COLD_SCHEMA,
        }
    }
}

/// The answer to a question for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The permit is granted, for use at once.
    Granted,
    /// There is none now.
    Denied {
        /// Time after which to ask again.
        retry_in: Duration,
    },
}

/// A message between an entry that needs a permit and the entry that owns its subject. The numbers
/// are chosen by the asking entry and unique within a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitFrame {
    /// Asks for a permit; sent to the owner.
    Ask {
        /// Number of the question.
        number: u64,
        /// What the permit is for.
        subject: PermitSubject,
    },
    /// Answers a question; sent by the owner.
    Answer {
        /// Number of the question.
        number: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Gives back a place at a brittle target; sent to the owner.
    Release {
        /// Id of the target.
        target: String,
        /// Time for which the place was taken.
        held: Duration,
        /// True if the target has turned the call away.
        is_refused: bool,
    },
}

impl PermitFrame {
    /// Returns the lowest schema that has all parts of the message.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::Ask { subject, .. } => subject.schema(),
            Self::Answer { .. } | Self::Release { .. } => OLDEST_SCHEMA,
        }
    }
}
