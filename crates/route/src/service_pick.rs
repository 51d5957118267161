use {
    crate::{PrefixKey, VersionRule},
    plan::SoftwareVersion,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// How a call to a target ended, as far as it matters for later choices of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceOutcome {
    /// The target answered successfully.
    Answered,
    /// The target answered with an error.
    Failed,
    /// The target declined to run the request.
    Refused,
    /// The connection was lost during the call or could not be made.
    Lost,
    /// The entry cancelled the call; this does not count as a failure of the target.
    Cancelled,
}

/// Properties of a request that determine its target.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuery<'a> {
    /// Prefix keys of its prompt with the tokens that each adds, from
    /// [`prefix_keys`](crate::prefix_keys); empty without a prompt.
    pub prefixes: &'a [(PrefixKey, u32)],
    /// Ids of the targets that have been tried and are excluded.
    pub tried: &'a [String],
    /// Data centre of this entry.
    pub data_centre: &'a str,
    /// Size of its inputs in bytes, by the data centre that stores them.
    pub inputs: &'a BTreeMap<String, u64>,
    /// Targets to choose from if this entry places all prompts there, so that it knows exactly what
    /// they run and have cached; `None` to choose from all targets by what is known of them.
    pub among: Option<&'a BTreeSet<String>>,
    /// Software versions at which the request may run.
    pub versions: &'a VersionRule,
}

/// Target chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePick {
    /// Id of the target.
    pub target: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// Address to send the request to.
    pub address: SocketAddr,
    /// Version of the target's software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Prompt tokens that the target is expected to read, because it has not cached them.
    pub unread_tokens: u32,
    /// Prompt tokens that the target reads before the first event of the answer, including those
    /// of requests queued ahead; 0 if the time to the first event can't be used to measure the
    /// read rate, because it includes a fetch.
    pub queued_tokens: u32,
    /// Address of the target from which the cached prefix should be fetched first.
    pub fetch_from: Option<SocketAddr>,
}
