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

/// Events that may wait for a caller that reads slowly.
const STREAM_EVENTS: usize = 64;
/// Content type of a streamed answer.
const STREAM_TYPE: &str = "application/x-ndjson";
/// Content type of any other answer.
const BODY_TYPE: &str = "application/octet-stream";

/// Why a caller gets no further events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SinkStop {
    /// The caller has gone away.
    Gone,
    /// The caller leaves its stream unread.
    Stuck,
}

/// Takes the answer of a run to its caller, as a stream or as one body, and keeps a copy for
/// repeats where one is wanted.
pub struct AnswerSink {
    head: Option<oneshot::Sender<HttpReply>>,
    stream: Option<mpsc::Sender<Bytes>>,
    streaming: bool,
    stall_time: Duration,
    text: Vec<u8>,
    record: Option<Vec<u8>>,
}

impl AnswerSink {
    /// Sink and the reply that its caller waits for.
    pub fn new(
        streaming: bool,
        keep: bool,
        stall_time: Duration,
    ) -> (Self, oneshot::Receiver<HttpReply>) {
        let (head, reply) = oneshot::channel();
        let sink = Self {
            head: Some(head),
            stream: None,
            streaming,
            stall_time,
            text: Vec::new(),
            record: keep.then(Vec::new),
        };
        (sink, reply)
    }

    /// Gives the caller a token.
    pub async fn emit(&mut self, index: u64, text: String) -> Result<(), SinkStop> {
        if !self.streaming {
            self.text.extend_from_slice(text.as_bytes());
            return Ok(());
        }
        self.send(&StreamEvent::Token { index, text }).await
    }

    /// Ends the answer whole; gives the copy that repeats are to get.
    pub async fn finish(mut self, answer: RunAnswer) -> Option<RecordedAnswer> {
        match answer {
            RunAnswer::Tokens {
                tokens,
                length,
                digest,
            } if self.streaming => {
                let _ = self
                    .send(&StreamEvent::End {
                        tokens,
                        length,
                        digest,
                    })
                    .await;
                self.record.map(|body| recorded(STREAM_TYPE, body))
            }
            RunAnswer::Tokens { .. } => {
                let body = std::mem::take(&mut self.text);
                Some(self.reply(recorded(BODY_TYPE, body)))
            }
            RunAnswer::Body(body) => self.finish_body(body).await,
        }
    }

    /// A plain service's answer is streamed as one token, unless it is no text.
    async fn finish_body(mut self, body: Bytes) -> Option<RecordedAnswer> {
        let text = match std::str::from_utf8(&body) {
            Ok(text) if self.streaming => text.to_string(),
            _ => return Some(self.reply(recorded(BODY_TYPE, body.to_vec()))),
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
        self.record.map(|body| recorded(STREAM_TYPE, body))
    }

    /// Ends the answer as failed, at once.
    pub async fn fail(mut self, report: &FailureReport) -> RecordedAnswer {
        if self.stream.is_some() {
            let event = StreamEvent::Failed {
                report: report.clone(),
            };
            let _ = self.send(&event).await;
        } else if let Some(head) = self.head.take() {
            let _ = head.send(failure_reply(report));
        }
        recorded_failure(report)
    }

    /// Waits until the caller of a stream goes away.
    pub async fn gone(&self) {
        match &self.stream {
            Some(stream) => stream.closed().await,
            None => std::future::pending().await,
        }
    }

    fn reply(&mut self, answer: RecordedAnswer) -> RecordedAnswer {
        if let Some(head) = self.head.take() {
            let _ = head.send(recorded_reply(&answer));
        }
        answer
    }

    async fn send(&mut self, event: &StreamEvent) -> Result<(), SinkStop> {
        self.open_stream();
        let line = event.to_line();
        if let Some(record) = &mut self.record {
            record.extend_from_slice(&line);
        }
        let Some(stream) = &self.stream else {
            return Err(SinkStop::Gone);
        };
        match stream
            .send_timeout(Bytes::from(line), self.stall_time)
            .await
        {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => Err(SinkStop::Stuck),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => Err(SinkStop::Gone),
        }
    }

    /// The head of a stream leaves with its first event, so that an earlier failure has a
    /// status of its own.
    fn open_stream(&mut self) {
        let Some(head) = self.head.take() else {
            return;
        };
        let (sender, receiver) = mpsc::channel(STREAM_EVENTS);
        self.stream = Some(sender);
        let _ = head.send(stream_reply(receiver));
    }
}

fn recorded(kind: &str, body: Vec<u8>) -> RecordedAnswer {
    RecordedAnswer {
        status: StatusCode::OK.as_u16(),
        content_type: kind.to_string(),
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
        .insert(CONTENT_TYPE, HeaderValue::from_static(STREAM_TYPE));
    reply
}
