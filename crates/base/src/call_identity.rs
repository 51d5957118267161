use {
    crate::{AttemptNumber, CustomerId, RequestId, StageIndex},
    serde::{Deserialize, Serialize},
};

/// What tells one call to a target from every other; a reply must carry the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallIdentity {
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Id of the request, unique within the customer.
    pub request: RequestId,
    /// Position of the stage.
    pub stage: StageIndex,
    /// Number of the call within the request.
    pub attempt: AttemptNumber,
}
