use {
    crate::data::{
        call_reply::{header_identity, parse_header, reported_state, send_failure, status_failure},
        call_slot::CallSlot,
        line_buffer::LineBuffer,
        outbound_client::OutboundClient,
    },
    actix_http::StatusCode,
    awc::{ClientRequest, ClientResponse},
    base::{
        ATTEMPT_HEADER, AnswerDigest, CALL_HEADER, CUSTOMER_HEADER, CallIdentity, DIGEST_HEADER,
        LENGTH_HEADER, MODEL_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER,
        RESUME_HEADER, RequestPriority, STAGE_HEADER, StreamEvent,
    },
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt},
    pipe::{CallFailure, RunEvent},
    std::time::{Duration, Instant},
    tokio::sync::mpsc::{self, error::TrySendError},
};

/// Maximum number of bytes of an engine's stream that are buffered while they are split into lines.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time for which a token may wait for the caller before the call releases its slot.
const SLOW_READER_TIMEOUT: Duration = Duration::from_millis(100);

/// Parameters of one call to a target.
pub struct TargetCall {
    pub identity: CallIdentity,
    /// Address of the target in the form `ip:port`.
    pub address: String,
    /// Kind of call that the target is asked for.
    pub call_kind: String,
    /// Model that an engine should answer with.
    pub model: Option<String>,
    /// True if the target streams tokens; false for a plain service, which answers with one body.
    pub is_engine: bool,
    /// True if the call must not use a pooled connection.
    pub needs_fresh_connection: bool,
    pub priority: RequestPriority,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Number of tokens that the engine is to skip; 0 for a plain service.
    pub resume_at: u64,
    pub input: Bytes,
}

/// State that a target reports in the headers of each answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedState {
    /// Running calls divided by the capacity.
    pub load: Option<f64>,
    /// True if the target is shutting down.
    pub is_leaving: bool,
}

/// Progress of a running call, which forwards tokens to the run as they arrive.
pub struct CallProgress {
    pub reported: ReportedState,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time for which the call waited for its caller to read.
    pub blocked_time: Duration,
    /// Slot of the call; `None` once it was released because the caller reads too slowly.
    pub slot: Option<CallSlot>,
    events: mpsc::Sender<RunEvent>,
}

impl CallProgress {
    pub fn new(events: mpsc::Sender<RunEvent>, slot: CallSlot) -> Self {
        Self {
            reported: ReportedState::default(),
            tokens: 0,
            blocked_time: Duration::ZERO,
            slot: Some(slot),
            events,
        }
    }

    /// Forwards a token to the run. Releases the slot if the caller reads too slowly, so that other
    /// calls can use it.
    async fn forward_token(&mut self, token: RunEvent) {
        self.tokens += 1;
        let Err(TrySendError::Full(token)) = self.events.try_send(token) else {
            return;
        };
        let start = Instant::now();
        let sending = self.events.send(token);
        tokio::pin!(sending);
        if actix_rt::time::timeout(SLOW_READER_TIMEOUT, &mut sending)
            .await
            .is_err()
        {
            self.slot = None;
            let _ = sending.await;
        }
        self.blocked_time += start.elapsed();
    }
}

impl TargetCall {
    /// Makes the call, forwards its tokens through `progress` and returns how it ended.
    pub async fn run(self, client: &OutboundClient, progress: &mut CallProgress) -> CallEnd {
        match self.exchange(client, progress).await {
            Ok(event) => CallEnd::Answered(event),
            Err(failure) => CallEnd::Failed(failure),
        }
    }

    async fn exchange(
        &self,
        client: &OutboundClient,
        progress: &mut CallProgress,
    ) -> Result<RunEvent, CallFailure> {
        let request = self.request(client);
        let mut response = request
            .send_body(self.input.clone())
            .await
            .map_err(send_failure)?;
        progress.reported = reported_state(response.headers());
        if response.status() != StatusCode::OK {
            return Err(status_failure(&response));
        }
        if self.is_engine {
            self.read_stream(&mut response, progress).await
        } else {
            self.read_answer(&mut response, client, progress).await
        }
    }

    fn request(&self, client: &OutboundClient) -> ClientRequest {
        let url = format!("http://{}/call", self.address);
        let remaining = u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX);
        let mut request = if self.needs_fresh_connection {
            client.fresh.post(url).force_close()
        } else {
            client.pooled.post(url)
        };
        request = request
            .insert_header((CUSTOMER_HEADER, self.identity.customer.as_str()))
            .insert_header((REQUEST_HEADER, self.identity.request.as_str()))
            .insert_header((STAGE_HEADER, self.identity.stage.to_string()))
            .insert_header((ATTEMPT_HEADER, self.identity.attempt.to_string()))
            .insert_header((CALL_HEADER, self.call_kind.as_str()))
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
        client: &OutboundClient,
        progress: &mut CallProgress,
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
        let stated = length.and_then(|length| usize::try_from(length).ok());
        let Some(limit) = stated.filter(|length| *length <= client.max_answer_bytes) else {
            return Err(CallFailure::Broken);
        };
        let waits_since = Instant::now();
        let lease = client.answer_room.take(limit).await;
        // The target has answered: the wait says nothing of it.
        progress.blocked_time += waits_since.elapsed();
        let mut body = BytesMut::with_capacity(limit);
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
        let body = lease.hold(body.freeze());
        Ok(RunEvent::Answered { attempt, body })
    }

    async fn read_stream<S>(
        &self,
        response: &mut ClientResponse<S>,
        progress: &mut CallProgress,
    ) -> Result<RunEvent, CallFailure>
    where
        S: Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
    {
        let mut lines = LineBuffer::new(MAX_BUFFERED_BYTES);
        let mut has_begun = false;
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|_| CallFailure::Lost)?;
            lines.push(&chunk).map_err(|_| CallFailure::Broken)?;
            while let Some(line) = lines.next_line() {
                let event = StreamEvent::from_line(&line).map_err(|_| CallFailure::Broken)?;
                match self.to_run_event(event, &mut has_begun)? {
                    None => {}
                    Some(end @ RunEvent::Ended { .. }) => return Ok(end),
                    Some(token) => progress.forward_token(token).await,
                }
            }
        }
        Err(CallFailure::Lost)
    }

    /// Converts a stream event to the event of the run; `None` for `Begin`, which sets `has_begun`.
    fn to_run_event(
        &self,
        event: StreamEvent,
        has_begun: &mut bool,
    ) -> Result<Option<RunEvent>, CallFailure> {
        let attempt = self.identity.attempt;
        match event {
            StreamEvent::Begin { call } if call == self.identity => {
                *has_begun = true;
                Ok(None)
            }
            StreamEvent::Token { index, text } if *has_begun => Ok(Some(RunEvent::Token {
                attempt,
                index,
                text,
            })),
            StreamEvent::End { tokens, digest, .. } if *has_begun => Ok(Some(RunEvent::Ended {
                attempt,
                tokens,
                digest,
            })),
            StreamEvent::Failed { .. } => Err(CallFailure::Errored),
            _ => Err(CallFailure::Broken),
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEnd {
    Answered(RunEvent),
    Failed(CallFailure),
}
