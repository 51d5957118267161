use {
    plan::ServiceId,
    route::{PrefixKey, ServiceOutcome, ServicePick, VersionRule},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A question to the owner of a group of engines: which of them should run a request?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceQuestion {
    /// Service of the engines.
    pub service: ServiceId,
    /// Name of the group.
    pub group: String,
    /// Prefix keys of the prompt, shortest first, each with the number of tokens in its last part.
    pub prompt: Vec<(PrefixKey, u32)>,
    /// Ids of the engines that must not be chosen.
    pub excluded: Vec<String>,
    /// Software versions at which the request may run.
    pub versions: VersionRule,
    /// Data centre of the entry that asks.
    pub data_centre: String,
    /// Size of the request's inputs in bytes, by the data centre that stores them.
    pub inputs: BTreeMap<String, u64>,
}

/// A message between an entry that has a request for a group of engines and the entry that places
/// all requests there. The numbers are chosen by the asking entry and unique within a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceFrame {
    /// Asks for a place; sent to the owner.
    Ask {
        /// Number of the place.
        number: u64,
        /// The question.
        question: PlaceQuestion,
    },
    /// Answers a question; sent by the owner.
    Placed {
        /// Number of the place.
        number: u64,
        /// The chosen engine, which counts as running the request from now on; `None` if the entry
        /// does not own the group or no engine can be used.
        pick: Option<ServicePick>,
    },
    /// The request's first event has arrived; sent to the owner.
    FirstEvent {
        /// Number of the place.
        number: u64,
    },
    /// The request has ended; sent to the owner.
    End {
        /// Number of the place.
        number: u64,
        /// How it ended.
        outcome: ServiceOutcome,
    },
}
