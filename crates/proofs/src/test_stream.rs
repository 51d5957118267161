use {
    crate::{RunOutcome, test_caller::check_digest},
    anyhow::{anyhow, ensure},
    awc::{ClientResponse, error::PayloadError},
    base::{AnswerDigest, StreamEvent},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, stream::LocalBoxStream},
};

/// Body of an HTTP answer as a stream of chunks.
pub(crate) trait ReplyBody: Stream<Item = Result<Bytes, PayloadError>> + Unpin {}

impl<Body: Stream<Item = Result<Bytes, PayloadError>> + Unpin> ReplyBody for Body {}

/// A streamed answer that is read event by event; each event is checked against those before it.
pub struct TestStream {
    body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    /// Bytes that were received and not yet returned as a line.
    unread: BytesMut,
    /// Text of the tokens read so far.
    answer: Vec<u8>,
    /// Number of tokens read so far.
    tokens: u64,
    /// Outcome once the final event was read.
    outcome: Option<RunOutcome>,
}

impl TestStream {
    pub(crate) fn new(reply: ClientResponse<impl ReplyBody + 'static>) -> Self {
        Self {
            body: reply.boxed_local(),
            unread: BytesMut::new(),
            answer: Vec::new(),
            tokens: 0,
            outcome: None,
        }
    }

    /// Reads the next event; returns `None` if the stream closes after its final event.
    ///
    /// # Errors
    ///
    /// Fails if the stream is cut before its final event, or an event contradicts those before it.
    pub async fn next(&mut self) -> anyhow::Result<Option<StreamEvent>> {
        let Some(line) = self.read_line().await? else {
            let is_cut = self.outcome.is_none() || !self.unread.is_empty();
            ensure!(!is_cut, "stream was cut after {} tokens", self.tokens);
            return Ok(None);
        };
        let event = StreamEvent::from_line(&line)?;
        self.check_event(&event)?;
        Ok(Some(event))
    }

    /// Reads the stream until it closes and returns its outcome.
    ///
    /// # Errors
    ///
    /// Fails if the stream is cut before its final event, or an event contradicts those before it.
    pub async fn read_outcome(mut self) -> anyhow::Result<RunOutcome> {
        while self.next().await?.is_some() {}
        self.outcome
            .ok_or_else(|| anyhow!("stream has no final event"))
    }

    async fn read_line(&mut self) -> anyhow::Result<Option<BytesMut>> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                return Ok(Some(self.unread.split_to(end + 1)));
            }
            let Some(chunk) = self.body.next().await else {
                return Ok(None);
            };
            let chunk = chunk.map_err(|error| anyhow!("body: {error}"))?;
            self.unread.extend_from_slice(&chunk);
        }
    }

    fn check_event(&mut self, event: &StreamEvent) -> anyhow::Result<()> {
        ensure!(self.outcome.is_none(), "an event came after the end");
        match event {
            StreamEvent::Begin { .. } => {}
            StreamEvent::Token { index, text } => {
                ensure!(
                    *index == self.tokens,
                    "token {index} came where token {} was expected",
                    self.tokens
                );
                self.tokens += 1;
                self.answer.extend_from_slice(text.as_bytes());
            }
            StreamEvent::End {
                tokens,
                length,
                digest,
            } => {
                ensure!(
                    *tokens == self.tokens,
                    "{} tokens came of {tokens} that were announced",
                    self.tokens
                );
                let found = AnswerDigest::of(&self.answer);
                check_digest(&found, &length.to_string(), digest)?;
                let answer = std::mem::take(&mut self.answer);
                self.outcome = Some(RunOutcome::Complete(answer));
            }
            StreamEvent::Failed { report } => {
                self.outcome = Some(RunOutcome::Failed(report.clone()));
            }
        }
        Ok(())
    }
}
