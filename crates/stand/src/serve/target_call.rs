use {
    actix_http::{Request, header::HeaderMap},
    base::{
        ATTEMPT_HEADER, CALL_HEADER, CUSTOMER_HEADER, CallIdentity, MODEL_HEADER, PRIORITY_HEADER,
        REQUEST_HEADER, RESUME_HEADER, RequestPriority, STAGE_HEADER,
    },
    bytes::Bytes,
    std::{str::FromStr, time::Duration},
};

/// Size limit of an input.
const MAX_INPUT_BYTES: usize = 64 * 1024 * 1024;
/// Time in which an input must arrive.
const INPUT_TIMEOUT: Duration = Duration::from_secs(30);
/// Text in an input that makes a target crash.
const CRASH_MARKER: &[u8] = b"crash-target";

/// A call that a target received.
#[derive(Debug, Clone)]
pub struct TargetCall {
    /// Customer, request, stage and attempt.
    pub identity: CallIdentity,
    /// Kind of call, such as `encode`.
    pub name: String,
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Model that should answer; any may if absent.
    pub model: Option<String>,
    /// Index of the first token to send, 0 for the whole stream.
    pub resume_at: u64,
    /// Input of the stage.
    pub input: Bytes,
}

impl TargetCall {
    /// Reads a call from a request; the error names the missing or invalid part.
    pub async fn read(mut request: Request) -> Result<Self, String> {
        let mut body = setup::RequestBody::take(&mut request);
        let input = setup::read_body(&mut body, MAX_INPUT_BYTES, INPUT_TIMEOUT).await;
        let input = input.ok_or("the input is truncated, too long or late")?;
        let headers = &request.head().headers;
        Ok(Self {
            identity: CallIdentity {
                customer: required_header(headers, CUSTOMER_HEADER)?,
                request: required_header(headers, REQUEST_HEADER)?,
                stage: required_header(headers, STAGE_HEADER)?,
                attempt: required_header(headers, ATTEMPT_HEADER)?,
            },
            name: required_header(headers, CALL_HEADER)?,
            priority: optional_header(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            model: optional_header(headers, MODEL_HEADER)?,
            resume_at: optional_header(headers, RESUME_HEADER)?.unwrap_or(0),
            input,
        })
    }

    /// Returns true if the call should make the target crash.
    pub fn crashes_target(&self) -> bool {
        self.input
            .windows(CRASH_MARKER.len())
            .any(|word| word == CRASH_MARKER)
    }

    /// Returns the key under which the call's posting is counted: `{customer}/{request}`.
    pub fn posting_key(&self) -> String {
        format!("{}/{}", self.identity.customer, self.identity.request)
    }
}

/// Parses a header that must be there.
fn required_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, String> {
    optional_header(headers, name)?.ok_or_else(|| format!("header {name} is missing"))
}

/// Parses a header; `None` if it is absent.
fn optional_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| format!("header {name} is not text"))?;
    let value = text
        .parse()
        .map_err(|_| format!("header {name} has an invalid value: {text}"))?;
    Ok(Some(value))
}
