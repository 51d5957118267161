use {
    actix_http::{Request, header::HeaderMap},
    base::{
        ATTEMPT_HEADER, CALL_HEADER, CUSTOMER_HEADER, CallIdentity, MODEL_HEADER, PRIORITY_HEADER,
        REQUEST_HEADER, RESUME_HEADER, RequestPriority, STAGE_HEADER,
    },
    bytes::Bytes,
    std::{str::FromStr, time::Duration},
};

/// Longest input that a target takes.
const INPUT_LIMIT: usize = 64 * 1024 * 1024;
/// Time in which an input must arrive.
const INPUT_TIME: Duration = Duration::from_secs(30);
/// Input that makes a target crash.
const CRASH_KEY: &[u8] = b"crash-target";

/// A call as it came over the wire.
#[derive(Debug, Clone)]
pub struct TargetCall {
    /// Which call it is.
    pub identity: CallIdentity,
    /// Kind of call.
    pub name: String,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// Model that should answer.
    pub model: Option<String>,
    /// Tokens to skip.
    pub resume_at: u64,
    /// Input of the stage.
    pub input: Bytes,
}

impl TargetCall {
    /// Reads a call; the error says what it lacks.
    pub async fn read(mut request: Request) -> Result<Self, String> {
        let payload = request.take_payload();
        let input = setup::read_body(payload, INPUT_LIMIT, INPUT_TIME).await;
        let input = input.ok_or("input cut, too long or late")?;
        let headers = &request.head().headers;
        Ok(Self {
            identity: CallIdentity {
                customer: needed(headers, CUSTOMER_HEADER)?,
                request: needed(headers, REQUEST_HEADER)?,
                stage: needed(headers, STAGE_HEADER)?,
                attempt: needed(headers, ATTEMPT_HEADER)?,
            },
            name: needed(headers, CALL_HEADER)?,
            priority: header(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            model: header(headers, MODEL_HEADER)?,
            resume_at: header(headers, RESUME_HEADER)?.unwrap_or(0),
            input,
        })
    }

    /// True if the call makes the target crash.
    pub fn crashes(&self) -> bool {
        self.input
            .windows(CRASH_KEY.len())
            .any(|word| word == CRASH_KEY)
    }

    /// Customer and request as they key the postings.
    pub fn request_key(&self) -> String {
        format!("{}/{}", self.identity.customer, self.identity.request)
    }
}

fn needed<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, String> {
    header(headers, name)?.ok_or_else(|| format!("header {name} is missing"))
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| format!("header {name}"))?;
    let value = text.parse().map_err(|_| format!("header {name}: {text}"))?;
    Ok(Some(value))
}
