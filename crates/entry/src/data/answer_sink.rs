use {
    crate::data::failure_answer::{failure_reply, recorded_failure, recorded_reply},
    actix_http::{
        Response, StatusCode,
        body::{BodyStream, BoxBody, MessageBody},
        header::{CONTENT_TYPE, HeaderValue},
    },
    base::{AnswerDigest, FailureReport, StreamEvent},
    bytes::Bytes,
    futures_util::stream,
    once::RecordedAnswer,
    pipe::RunAnswer,
    setup::HttpReply,
    std::{convert::Infallible, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Maximum number of events that may wait for a caller that reads slowly.
const STREAM_CAPACITY: usize = 64;
/// Content type of a streamed answer.
const STREAM_CONTENT_TYPE: &str = "application/x-ndjson";
/// Content type of an answer that is sent as one body.
const BODY_CONTENT_TYPE: &str = "application/octet-stream";

/// Reason why no further events can be sent to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkStop {
    /// The caller has closed its connection.
    CallerGone,
    /// The caller has stopped reading its stream.
    Stalled,
}

/// Sends the answer of a run to its caller, as a stream or as one body, and if asked keeps a copy
/// for repeated sends.
pub struct AnswerSink {
    /// `None` once the reply was sent.
    reply_sender: Option<oneshot::Sender<HttpReply>>,
    /// Lines of the stream; `None` until the first event.
    stream: Option<mpsc::Sender<Bytes>>,
    is_streaming: bool,
    /// Time for which the caller may leave the stream unread.
    stall_time: Duration,
    /// Tokens of an answer that is sent as one body.
    text: Vec<u8>,
    /// Copy of the stream's lines, if one is kept.
    copy: Option<Vec<u8>>,
}

impl AnswerSink {
    /// Creates a sink and the receiver of its reply.
    pub fn new(
        is_streaming: bool,
        keeps_answer_copy: bool,
        stall_time: Duration,
    ) -> (Self, oneshot::Receiver<HttpReply>) {
        let (reply_sender, reply) = oneshot::channel();
        let sink = Self {
            reply_sender: Some(reply_sender),
            stream: None,
            is_streaming,
            stall_time,
            text: Vec::new(),
            copy: keeps_answer_copy.then(Vec::new),
        };
        (sink, reply)
    }

    /// Sends a token to the caller, or adds it to the body.
    pub async fn emit(&mut self, index: u64, text: String) -> Result<(), SinkStop> {
        if !self.is_streaming {
            self.text.extend_from_slice(text.as_bytes());
            return Ok(());
        }
        self.send(&StreamEvent::Token { index, text }).await
    }

    /// Completes the answer, and returns it for repeated sends; `None` if it was streamed and no
    /// copy was kept.
    pub async fn finish(mut self, answer: RunAnswer) -> Option<RecordedAnswer> {
        match answer {
            RunAnswer::Tokens {
                tokens,
                length,
                digest,
            } if self.is_streaming => {
                let _ = self
                    .send(&StreamEvent::End {
                        tokens,
                        length,
                        digest,
                    })
                    .await;
                self.copy.map(|body| recorded(STREAM_CONTENT_TYPE, body))
            }
            RunAnswer::Tokens { .. } => {
                let body = std::mem::take(&mut self.text);
                Some(self.reply(recorded(BODY_CONTENT_TYPE, body)))
            }
            RunAnswer::Body(body) => self.finish_body(body).await,
        }
    }

    /// Completes the answer of a plain service. It is streamed as one token, unless it isn't UTF-8.
    async fn finish_body(mut self, body: Bytes) -> Option<RecordedAnswer> {
        let text = match std::str::from_utf8(&body) {
            Ok(text) if self.is_streaming => text.to_string(),
            _ => return Some(self.reply(recorded(BODY_CONTENT_TYPE, body.to_vec()))),
        };
        let digest = AnswerDigest::of(text.as_bytes());
        let (length, digest) = (digest.length(), digest.hex());
        let _ = self.send(&StreamEvent::Token { index: 0, text }).await;
        let _ = self
            .send(&StreamEvent::End {
                tokens: 1,
                length,
                digest,
            })
            .await;
        self.copy.map(|body| recorded(STREAM_CONTENT_TYPE, body))
    }

    /// Ends the answer with a failure, and returns it for repeated sends.
    pub async fn fail(mut self, report: &FailureReport) -> RecordedAnswer {
        if self.stream.is_some() {
            let event = StreamEvent::Failed {
                report: report.clone(),
            };
            let _ = self.send(&event).await;
        } else if let Some(reply_sender) = self.reply_sender.take() {
            let _ = reply_sender.send(failure_reply(report));
        }
        recorded_failure(report)
    }

    /// Waits until the caller of a stream closes its connection; never returns if no stream is open.
    pub async fn wait_caller_gone(&self) {
        match &self.stream {
            Some(stream) => stream.closed().await,
            None => std::future::pending().await,
        }
    }

    fn reply(&mut self, answer: RecordedAnswer) -> RecordedAnswer {
        if let Some(reply_sender) = self.reply_sender.take() {
            let _ = reply_sender.send(recorded_reply(&answer));
        }
        answer
    }

    async fn send(&mut self, event: &StreamEvent) -> Result<(), SinkStop> {
        self.open_stream();
        let line = event.to_line();
        if let Some(copy) = &mut self.copy {
            copy.extend_from_slice(&line);
        }
        let Some(stream) = &self.stream else {
            return Err(SinkStop::CallerGone);
        };
        match stream
            .send_timeout(Bytes::from(line), self.stall_time)
            .await
        {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => Err(SinkStop::Stalled),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => Err(SinkStop::CallerGone),
        }
    }

    /// Starts the streamed reply unless it has started. This waits for the first event, so that an
    /// earlier failure can have its own HTTP status.
    fn open_stream(&mut self) {
        let Some(reply_sender) = self.reply_sender.take() else {
            return;
        };
        let (sender, receiver) = mpsc::channel(STREAM_CAPACITY);
        self.stream = Some(sender);
        let _ = reply_sender.send(stream_reply(receiver));
    }
}

fn recorded(content_type: &str, body: Vec<u8>) -> RecordedAnswer {
    RecordedAnswer {
        status: StatusCode::OK.as_u16(),
        content_type: content_type.to_string(),
        body,
    }
}

fn stream_reply(receiver: mpsc::Receiver<Bytes>) -> HttpReply {
    let lines = stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        Some((Ok::<_, Infallible>(line), receiver))
    });
    let body: BoxBody = BodyStream::new(Box::pin(lines)).boxed();
    let mut reply = Response::with_body(StatusCode::OK, body);
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(STREAM_CONTENT_TYPE));
    reply
}
