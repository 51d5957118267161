use {
    awc::{
        Client, ClientRequest, ClientResponse, Connector,
        error::{ConnectError, SendRequestError},
        http::StatusCode,
    },
    base::{
        ATTEMPT_HEADER, CALL_HEADER, CREDENTIAL_HEADER, CUSTOMER_HEADER, DIGEST_HEADER,
        FailureReport, IDEMPOTENT_HEADER, LENGTH_HEADER, PRIORITY_HEADER, REMAINING_HEADER,
        REQUEST_HEADER, SHEET_HEADER, STAGE_HEADER, STREAM_HEADER, SheetVersion, StreamEvent,
        TICKET_HEADER,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt},
    load::{
        AddressAnswer, AnswerCheck, AnswerFault, AnswerState, CustomerLoad, PipelineLoad,
        PlannedRequest, SendResult,
    },
    std::time::{Duration, Instant},
};

/// Timeout of one request for addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);
/// Size limit of the answer to a request for addresses.
const MAX_ADDRESS_ANSWER_BYTES: usize = 1024 * 1024;

/// One request to one entry, or to one target if it is sent directly.
pub struct EntryCall<'a> {
    /// Address of the entry or target.
    pub address: &'a str,
    /// Customer that sends the request.
    pub customer: &'a CustomerLoad,
    /// Pipeline that is requested.
    pub pipeline: &'a PipelineLoad,
    /// Planned request, with its id and body.
    pub planned: &'a PlannedRequest,
    /// Ticket that is sent along; `None` sends none.
    pub ticket: Option<&'a str>,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Latest sheet version that the caller has seen; 0 if none.
    pub sheet_version: SheetVersion,
}

/// Token times and tickets that one send yielded, whatever its result.
#[derive(Debug, Default)]
pub struct SendRecord {
    /// Arrival time of each token.
    pub token_times: Vec<Instant>,
    /// Unused tickets that the entry handed out.
    pub tickets: Vec<String>,
}

/// HTTP client for entries.
#[derive(Clone)]
pub struct EntryClient {
    client: Client,
}

impl EntryClient {
    /// Creates a client without limits on the number of connections or the duration of an answer.
    pub fn new() -> Self {
        let connector = Connector::new()
            .limit(0)
            .conn_keep_alive(IDLE_CONNECTION_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client }
    }

    /// Asks an entry which addresses a customer should use; `None` if it refuses or does not answer
    /// within `ADDRESS_TIMEOUT`.
    pub async fn fetch_addresses(
        &self,
        entry: &str,
        customer: &CustomerLoad,
    ) -> Option<AddressAnswer> {
        let url = format!("http://{entry}/addresses?customer={}", customer.name);
        let request = self
            .client
            .get(url)
            .insert_header((CUSTOMER_HEADER, customer.name.as_str()))
            .insert_header((CREDENTIAL_HEADER, customer.credential.as_str()));
        let fetch = async {
            let mut reply = request.send().await.ok()?;
            if reply.status() != StatusCode::OK {
                return None;
            }
            reply.json().limit(MAX_ADDRESS_ANSWER_BYTES).await.ok()
        };
        let answer = actix_rt::time::timeout(ADDRESS_TIMEOUT, fetch).await;
        answer.ok().flatten()
    }

    /// Sends a request and reads its answer to the end. `record` is filled as the answer arrives,
    /// so that a cancelled send keeps what it received.
    pub async fn send(
        &self,
        call: &EntryCall<'_>,
        mut check: AnswerCheck,
        record: &mut SendRecord,
    ) -> SendResult {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{}/run/{}", call.address, call.pipeline.name);
        let mut request = self
            .client
            .post(url)
            .insert_header((CUSTOMER_HEADER, call.customer.name.as_str()))
            .insert_header((CREDENTIAL_HEADER, call.customer.credential.as_str()))
            .insert_header((REQUEST_HEADER, call.planned.request.as_str()))
            .insert_header((REMAINING_HEADER, remaining.as_millis().to_string()))
            .insert_header((PRIORITY_HEADER, call.pipeline.priority.to_string()))
            .insert_header((IDEMPOTENT_HEADER, call.pipeline.idempotent.to_string()))
            .insert_header((STREAM_HEADER, call.pipeline.stream.to_string()));
        if call.sheet_version > 0 {
            request = request.insert_header((SHEET_HEADER, call.sheet_version.to_string()));
        }
        if let Some(ticket) = call.ticket {
            request = request.insert_header((TICKET_HEADER, ticket));
        }
        send_request(request, call, &mut check, record).await
    }

    /// Sends the call of a pipeline's first stage directly to a target, as a baseline.
    pub async fn send_direct(
        &self,
        call: &EntryCall<'_>,
        mut check: AnswerCheck,
        record: &mut SendRecord,
    ) -> SendResult {
        let call_kind = call.pipeline.stage.first().map(|stage| stage.call.as_str());
        let request = self
            .client
            .post(format!("http://{}/call", call.address))
            .insert_header((CUSTOMER_HEADER, call.customer.name.as_str()))
            .insert_header((REQUEST_HEADER, call.planned.request.as_str()))
            .insert_header((STAGE_HEADER, "0"))
            .insert_header((ATTEMPT_HEADER, "1"))
            .insert_header((CALL_HEADER, call_kind.unwrap_or_default()))
            .insert_header((PRIORITY_HEADER, call.pipeline.priority.to_string()));
        send_request(request, call, &mut check, record).await
    }
}

async fn send_request(
    request: ClientRequest,
    call: &EntryCall<'_>,
    check: &mut AnswerCheck,
    record: &mut SendRecord,
) -> SendResult {
    let body = Bytes::from(call.planned.body.clone());
    match request.send_body(body).await {
        Ok(reply) => read_reply(reply, call.pipeline.stream, check, record).await,
        Err(SendRequestError::Connect(ConnectError::Io(_))) => SendResult::NotSent,
        Err(_) => SendResult::Interrupted,
    }
}

async fn read_reply<S>(
    mut reply: ClientResponse<S>,
    is_streaming: bool,
    check: &mut AnswerCheck,
    record: &mut SendRecord,
) -> SendResult
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    record.tickets.extend(header(&reply, TICKET_HEADER));
    if reply.status() != StatusCode::OK {
        return read_failure(reply).await;
    }
    if is_streaming {
        return read_events(reply, check, record).await;
    }
    let length = header(&reply, LENGTH_HEADER).and_then(|text| text.parse().ok());
    let digest = header(&reply, DIGEST_HEADER);
    let mut body = BytesMut::new();
    while let Some(chunk) = reply.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return SendResult::Interrupted,
        }
    }
    if length.is_some_and(|length| (body.len() as u64) < length) {
        return SendResult::Interrupted;
    }
    send_result(check.verify_unary(&body, length, digest.as_deref()))
}

async fn read_failure<S>(mut reply: ClientResponse<S>) -> SendResult
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = reply.next().await {
        body.extend_from_slice(&chunk);
    }
    match serde_json::from_slice::<FailureReport>(&body) {
        Ok(report) => SendResult::Failed(report),
        Err(_) => SendResult::Interrupted,
    }
}

async fn read_events<S>(
    mut reply: ClientResponse<S>,
    check: &mut AnswerCheck,
    record: &mut SendRecord,
) -> SendResult
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut text = BytesMut::new();
    while let Some(Ok(chunk)) = reply.next().await {
        text.extend_from_slice(&chunk);
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            let line = text.split_to(end + 1);
            let Ok(event) = StreamEvent::from_line(&line) else {
                return SendResult::Faulty(AnswerFault::Broken);
            };
            if matches!(event, StreamEvent::Token { .. }) {
                record.token_times.push(Instant::now());
            }
            let state = check.verify_event(event);
            if state != AnswerState::Incomplete {
                drain(reply).await;
                return send_result(state);
            }
        }
    }
    SendResult::Interrupted
}

/// Reads the rest of the body, so that the connection can be reused.
async fn drain<S>(mut reply: ClientResponse<S>)
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    while let Some(Ok(_)) = reply.next().await {}
}

fn send_result(state: AnswerState) -> SendResult {
    match state {
        AnswerState::Incomplete => SendResult::Interrupted,
        AnswerState::Whole => SendResult::Whole,
        AnswerState::Failed(report) => SendResult::Failed(report),
        AnswerState::Faulty(fault) => SendResult::Faulty(fault),
    }
}

fn header<S>(reply: &ClientResponse<S>, name: &str) -> Option<String> {
    let value = reply.headers().get(name)?;
    value.to_str().ok().map(String::from)
}
