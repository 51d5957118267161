/// Customer that the request belongs to.
pub const CUSTOMER_HEADER: &str = "x-camphor-customer";
/// Credential of the customer.
pub const CREDENTIAL_HEADER: &str = "x-camphor-credential";
/// Id of the request, chosen by the caller.
pub const REQUEST_HEADER: &str = "x-camphor-request";
/// Milliseconds that remain until the caller's deadline.
pub const REMAINING_HEADER: &str = "x-camphor-remaining-ms";
/// Priority of the request: `urgent`, `normal` or `bulk`.
pub const PRIORITY_HEADER: &str = "x-camphor-priority";
/// `true` (also when absent) if the request may run more than once, else `false`.
pub const IDEMPOTENT_HEADER: &str = "x-camphor-idempotent";
/// `true` if the answer should be streamed.
pub const STREAM_HEADER: &str = "x-camphor-stream";
/// Single-use ticket of a non-idempotent request.
pub const TICKET_HEADER: &str = "x-camphor-ticket";
/// Latest sheet version that the sender knows. Requests of callers may append `.` and the proof
/// that an entry gave out with the version.
pub const SHEET_HEADER: &str = "x-camphor-sheet";
/// Name of the host that forwarded the request to the entry that minted its ticket.
pub const FORWARDED_HEADER: &str = "x-camphor-forwarded-by";
/// Position of the stage in its pipeline, from 0.
pub const STAGE_HEADER: &str = "x-camphor-stage";
/// Number of the call to a target within its request, from 1; never reused.
pub const ATTEMPT_HEADER: &str = "x-camphor-attempt";
/// Kind of call that the stage makes to its target, as the pipeline's stage names it in the sheet.
pub const CALL_HEADER: &str = "x-camphor-call";
/// Model that an engine should answer with.
pub const MODEL_HEADER: &str = "x-camphor-model";
/// Number of tokens that an engine should skip because an earlier engine already sent them.
pub const RESUME_HEADER: &str = "x-camphor-resume-at";
/// Length of the complete answer in bytes.
pub const LENGTH_HEADER: &str = "x-camphor-length";
/// Digest of the complete answer, hexadecimal.
pub const DIGEST_HEADER: &str = "x-camphor-digest";
/// Load that a target reports: running calls divided by its capacity, as a decimal fraction.
pub const LOAD_HEADER: &str = "x-camphor-load";
/// `true` if the answering target is leaving.
pub const LEAVING_HEADER: &str = "x-camphor-leaving";
/// Hybrid logical time of the sender, used to order events on the timeline.
pub const STAMP_HEADER: &str = "x-camphor-stamp";
/// `true` if a target refused the call before running any of it.
pub const NOT_RUN_HEADER: &str = "x-camphor-not-run";
