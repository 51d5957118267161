/// Name of an entry host.
pub type HostId = String;
/// Name of a data centre.
pub type CentreId = String;
/// Name of a customer.
pub type CustomerId = String;
/// Name of a target.
pub type TargetId = String;
/// Name of a pool of interchangeable targets.
pub type PoolId = String;
/// Name of a pipeline.
pub type PipelineId = String;
/// Id that a caller chooses for its request; unique within one customer only.
pub type RequestId = String;
/// Position of a stage in its pipeline, from 0.
pub type StageIndex = u16;
/// Number of a call within one request, from 1; never reused.
pub type AttemptNumber = u32;
/// Start time of a process in microseconds since the Unix epoch; tells restarts of a host's
/// process apart, larger means later.
pub type Incarnation = u64;
/// Version of a sheet, the configuration that all entries follow; larger means later.
pub type SheetVersion = u64;
