use {
    actix_http::header::HeaderMap,
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, CustomerId, FORWARDED_HEADER, HostId,
        IDEMPOTENT_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER, RequestId,
        RequestPriority, SHEET_HEADER, STREAM_HEADER, TICKET_HEADER,
    },
    std::{str::FromStr, time::Duration},
};

/// Maximum length of an id in a header: a customer or a request id.
const MAX_ID_LENGTH: usize = 128;

/// Parsed headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    pub customer: CustomerId,
    pub credential: String,
    pub request_id: RequestId,
    /// Time until the caller's deadline.
    pub remaining: Option<Duration>,
    pub priority: RequestPriority,
    pub is_idempotent: bool,
    pub is_streaming: bool,
    pub ticket: Option<String>,
    /// Latest sheet version that the caller has seen and the proof that an entry issued with it, as
    /// sent.
    pub seen_sheet_text: Option<String>,
    /// Host that forwarded the request, if one did.
    pub forwarded_by: Option<HostId>,
}

impl RequestHead {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the invalid header and what it should hold.
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let remaining = parse_header::<u64>(headers, REMAINING_HEADER)?.map(Duration::from_millis);
        Ok(Self {
            customer: parse_id_header(headers, CUSTOMER_HEADER)?,
            credential: text_header(headers, CREDENTIAL_HEADER)?.unwrap_or_default(),
            request_id: parse_id_header(headers, REQUEST_HEADER)?,
            remaining,
            priority: parse_header(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            is_idempotent: parse_header(headers, IDEMPOTENT_HEADER)?.unwrap_or(true),
            is_streaming: parse_header(headers, STREAM_HEADER)?.unwrap_or(false),
            ticket: text_header(headers, TICKET_HEADER)?,
            seen_sheet_text: text_header(headers, SHEET_HEADER)?,
            forwarded_by: text_header(headers, FORWARDED_HEADER)?,
        })
    }
}

fn text_header(headers: &HeaderMap, header: &str) -> Result<Option<String>, String> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_string())),
        Err(_) => Err(format!("{header} should be printable ASCII")),
    }
}

fn parse_id_header(headers: &HeaderMap, header: &str) -> Result<String, String> {
    let text = text_header(headers, header)?.unwrap_or_default();
    if text.is_empty() || text.len() > MAX_ID_LENGTH || text.contains('/') {
        return Err(format!(
            "{header} should hold 1 to {MAX_ID_LENGTH} characters without a slash"
        ));
    }
    Ok(text)
}

fn parse_header<T: FromStr>(headers: &HeaderMap, header: &str) -> Result<Option<T>, String> {
    let Some(text) = text_header(headers, header)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(format!("{header} has an invalid value: `{text}`")),
    }
}
