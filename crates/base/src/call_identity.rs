use {
    crate::{AttemptNumber, CustomerId, RequestId, StageIndex},
    serde::{Deserialize, Serialize},
};

/// Unique identity of one call to a target. The reply must repeat it, so that an answer to
/// another call is recognised.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallIdentity {
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Id of the request, unique within the customer.
    pub request: RequestId,
    /// Position of the stage in its pipeline, from 0.
    pub stage: StageIndex,
    /// Number of the call within the request, from 1.
    pub attempt: AttemptNumber,
}
