use {
    actix_http::header::HeaderMap,
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, CustomerId, FORWARDED_HEADER, HostId,
        IDEMPOTENT_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER, RequestId,
        RequestPriority, SHEET_HEADER, STREAM_HEADER, TICKET_HEADER,
    },
    std::{str::FromStr, time::Duration},
};

/// Characters that a name in a header may have.
const MAX_NAME: usize = 128;

/// What the headers of a request say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    pub customer: CustomerId,
    pub credential: String,
    pub request: RequestId,
    pub remaining: Option<Duration>,
    pub priority: RequestPriority,
    pub idempotent: bool,
    pub stream: bool,
    pub ticket: Option<String>,
    pub sheet_seen: Option<String>,
    pub forwarded_by: Option<HostId>,
}

impl RequestHead {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Says which header is wrong and what would be right.
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let remaining = parse::<u64>(headers, REMAINING_HEADER)?.map(Duration::from_millis);
        Ok(Self {
            customer: name(headers, CUSTOMER_HEADER)?,
            credential: text(headers, CREDENTIAL_HEADER)?.unwrap_or_default(),
            request: name(headers, REQUEST_HEADER)?,
            remaining,
            priority: parse(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            idempotent: parse(headers, IDEMPOTENT_HEADER)?.unwrap_or(true),
            stream: parse(headers, STREAM_HEADER)?.unwrap_or(false),
            ticket: text(headers, TICKET_HEADER)?,
            sheet_seen: text(headers, SHEET_HEADER)?,
            forwarded_by: text(headers, FORWARDED_HEADER)?,
        })
    }
}

fn text(headers: &HeaderMap, header: &str) -> Result<Option<String>, String> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_string())),
        Err(_) => Err(format!("{header} should be printable ASCII")),
    }
}

fn name(headers: &HeaderMap, header: &str) -> Result<String, String> {
    let text = text(headers, header)?.unwrap_or_default();
    if text.is_empty() || text.len() > MAX_NAME || text.contains('/') {
        return Err(format!(
            "{header} should hold 1 to {MAX_NAME} characters without a slash"
        ));
    }
    Ok(text)
}

fn parse<T: FromStr>(headers: &HeaderMap, header: &str) -> Result<Option<T>, String> {
    let Some(text) = text(headers, header)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(format!("{header} has the wrong form: `{text}`")),
    }
}
