use {
    crate::data::{call_place::CallPlace, line_buffer::LineBuffer, target_client::TargetClient},
    actix_http::{StatusCode, header::HeaderMap},
    awc::{
        ClientRequest, ClientResponse,
        error::{ConnectError, SendRequestError},
    },
    base::{
        ATTEMPT_HEADER, AnswerDigest, CALL_HEADER, CUSTOMER_HEADER, CallIdentity, DIGEST_HEADER,
        LEAVING_HEADER, LENGTH_HEADER, LOAD_HEADER, MODEL_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER,
        REMAINING_HEADER, REQUEST_HEADER, RESUME_HEADER, RequestPriority, STAGE_HEADER,
        StreamEvent,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt},
    pipe::{CallFailure, NotRunProof, RunEvent},
    std::{
        io::ErrorKind,
        str::FromStr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::{self, error::TrySendError},
};

/// Bytes that one line of an engine's stream may have.
const LINE_BYTES: usize = 256 * 1024;

/// Time after which a caller that does not read counts as slow.
const SLOW_TIME: Duration = Duration::from_millis(100);

/// Everything that one call to a target needs.
pub struct TargetCall {
    pub identity: CallIdentity,
    pub address: String,
    pub call: String,
    pub model: Option<String>,
    pub engine: bool,
    pub fresh: bool,
    pub priority: RequestPriority,
    pub remaining: Duration,
    pub resume_at: u64,
    pub input: Bytes,
}

/// What a target says of itself on each answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetWord {
    pub load: Option<f64>,
    pub leaving: bool,
}

/// What is known of a call while it runs; tokens leave as they come.
pub struct CallReport {
    pub word: TargetWord,
    pub tokens: u64,
    /// Time for which the call waited for its own caller.
    pub blocked: Duration,
    /// Right to make the call, unless its caller reads too slowly to need it.
    pub place: Option<CallPlace>,
    events: mpsc::Sender<RunEvent>,
}

impl CallReport {
    pub fn new(events: mpsc::Sender<RunEvent>, place: CallPlace) -> Self {
        Self {
            word: TargetWord::default(),
            tokens: 0,
            blocked: Duration::ZERO,
            place: Some(place),
            events,
        }
    }

    /// Passes a token on; a caller that reads slowly keeps no place from others.
    async fn pass(&mut self, token: RunEvent) {
        self.tokens += 1;
        let Err(TrySendError::Full(token)) = self.events.try_send(token) else {
            return;
        };
        let start = Instant::now();
        let sending = self.events.send(token);
        tokio::pin!(sending);
        if actix_rt::time::timeout(SLOW_TIME, &mut sending)
            .await
            .is_err()
        {
            self.place = None;
            let _ = sending.await;
        }
        self.blocked += start.elapsed();
    }
}

impl TargetCall {
    /// Makes the call; its tokens go to the report, its last event comes back.
    pub async fn run(self, client: &TargetClient, report: &mut CallReport) -> CallEnd {
        match self.exchange(client, report).await {
            Ok(event) => CallEnd::Whole(event),
            Err(failure) => CallEnd::Failed(failure),
        }
    }

    async fn exchange(
        &self,
        client: &TargetClient,
        report: &mut CallReport,
    ) -> Result<RunEvent, CallFailure> {
        let request = self.request(client);
        let mut response = request
            .send_body(self.input.clone())
            .await
            .map_err(send_failure)?;
        report.word = target_word(response.headers());
        if response.status() != StatusCode::OK {
            return Err(status_failure(&response));
        }
        if self.engine {
            self.read_stream(&mut response, report).await
        } else {
            self.read_answer(&mut response, client.answer_bytes).await
        }
    }

    fn request(&self, client: &TargetClient) -> ClientRequest {
        let url = format!("http://{}/call", self.address);
        let remaining = u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX);
        let mut request = if self.fresh {
            client.fresh.post(url).force_close()
        } else {
            client.pooled.post(url)
        };
        request = request
            .insert_header((CUSTOMER_HEADER, self.identity.customer.as_str()))
            .insert_header((REQUEST_HEADER, self.identity.request.as_str()))
            .insert_header((STAGE_HEADER, self.identity.stage.to_string()))
            .insert_header((ATTEMPT_HEADER, self.identity.attempt.to_string()))
            .insert_header((CALL_HEADER, self.call.as_str()))
            .insert_header((PRIORITY_HEADER, self.priority.to_string()))
            .insert_header((REMAINING_HEADER, remaining.to_string()));
        if let Some(model) = &self.model {
            request = request.insert_header((MODEL_HEADER, model.as_str()));
        }
        if self.resume_at > 0 {
            request = request.insert_header((RESUME_HEADER, self.resume_at.to_string()));
        }
        request
    }

    async fn read_answer<S>(
        &self,
        response: &mut ClientResponse<S>,
        limit: usize,
    ) -> Result<RunEvent, CallFailure>
    where
        S: Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
    {
        let headers = response.headers();
        let identity = header_identity(headers);
        let length = parse_header::<u64>(headers, LENGTH_HEADER);
        let digest = parse_header::<String>(headers, DIGEST_HEADER);
        if identity.as_ref() != Some(&self.identity) {
            return Err(CallFailure::Broken);
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|_| CallFailure::Lost)?;
            if body.len() + chunk.len() > limit {
                return Err(CallFailure::Broken);
            }
            body.extend_from_slice(&chunk);
        }
        let found = AnswerDigest::of(&body);
        if length != Some(found.length()) || digest != Some(found.hex()) {
            return Err(CallFailure::Broken);
        }
        let attempt = self.identity.attempt;
        let body = body.freeze();
        Ok(RunEvent::Answered { attempt, body })
    }

    async fn read_stream<S>(
        &self,
        response: &mut ClientResponse<S>,
        report: &mut CallReport,
    ) -> Result<RunEvent, CallFailure>
    where
        S: Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
    {
        let mut lines = LineBuffer::new(LINE_BYTES);
        let mut begun = false;
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|_| CallFailure::Lost)?;
            lines.push(&chunk).map_err(|_| CallFailure::Broken)?;
            while let Some(line) = lines.next_line() {
                let event = StreamEvent::from_line(&line).map_err(|_| CallFailure::Broken)?;
                match self.run_event(event, &mut begun)? {
                    None => {}
                    Some(end @ RunEvent::Ended { .. }) => return Ok(end),
                    Some(token) => report.pass(token).await,
                }
            }
        }
        Err(CallFailure::Lost)
    }

    fn run_event(
        &self,
        event: StreamEvent,
        begun: &mut bool,
    ) -> Result<Option<RunEvent>, CallFailure> {
        let attempt = self.identity.attempt;
        match event {
            StreamEvent::Begin { call } if call == self.identity => {
                *begun = true;
                Ok(None)
            }
            StreamEvent::Token { index, text } if *begun => Ok(Some(RunEvent::Token {
                attempt,
                index,
                text,
            })),
            StreamEvent::End { tokens, digest, .. } if *begun => Ok(Some(RunEvent::Ended {
                attempt,
                tokens,
                digest,
            })),
            StreamEvent::Failed { .. } => Err(CallFailure::Errored),
            _ => Err(CallFailure::Broken),
        }
    }
}

/// How a call ended, for the choice of further targets.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEnd {
    Whole(RunEvent),
    Failed(CallFailure),
}

/// Only a refused dial proves that nothing was sent: a pooled connection that breaks may have
/// carried the call.
fn send_failure(error: SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) if is_failed_dial(error.kind()) => {
            CallFailure::NotSent(NotRunProof::dial_failed())
        }
        _ => CallFailure::Lost,
    }
}

/// True for errors that only a dial can give.
pub fn is_failed_dial(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

fn status_failure<S>(response: &ClientResponse<S>) -> CallFailure {
    match parse_header::<bool>(response.headers(), NOT_RUN_HEADER) {
        Some(true) => CallFailure::Refused(NotRunProof::target_refused()),
        _ => CallFailure::Errored,
    }
}

fn target_word(headers: &HeaderMap) -> TargetWord {
    TargetWord {
        load: parse_header(headers, LOAD_HEADER),
        leaving: parse_header(headers, LEAVING_HEADER).unwrap_or(false),
    }
}

fn header_identity(headers: &HeaderMap) -> Option<CallIdentity> {
    Some(CallIdentity {
        customer: parse_header(headers, CUSTOMER_HEADER)?,
        request: parse_header(headers, REQUEST_HEADER)?,
        stage: parse_header(headers, STAGE_HEADER)?,
        attempt: parse_header(headers, ATTEMPT_HEADER)?,
    })
}

fn parse_header<T: FromStr>(headers: &HeaderMap, header: &str) -> Option<T> {
    headers.get(header)?.to_str().ok()?.parse().ok()
}
