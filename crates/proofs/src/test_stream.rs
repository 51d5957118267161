use {
    crate::{RunOutcome, test_caller::check_digest},
    anyhow::{anyhow, ensure},
    awc::{ClientResponse, error::PayloadError},
    base::{AnswerDigest, StreamEvent},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt, stream::LocalBoxStream},
};

/// Body of an answer as it arrives.
pub(crate) trait ReplyBody: Stream<Item = Result<Bytes, PayloadError>> + Unpin {}

impl<Body: Stream<Item = Result<Bytes, PayloadError>> + Unpin> ReplyBody for Body {}

/// A streamed answer that is read event by event and checked on the way.
pub struct TestStream {
    body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    unread: BytesMut,
    answer: Vec<u8>,
    tokens: u64,
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

    /// The next event; `None` where the stream closes after its end.
    ///
    /// # Errors
    ///
    /// Fails if the stream is cut, or an event does not fit those before it.
    pub async fn next(&mut self) -> anyhow::Result<Option<StreamEvent>> {
        let Some(line) = self.next_line().await? else {
            let cut = self.outcome.is_none() || !self.unread.is_empty();
            ensure!(!cut, "the stream was cut after {} tokens", self.tokens);
            return Ok(None);
        };
        let event = StreamEvent::from_line(&line)?;
        self.check(&event)?;
        Ok(Some(event))
    }

    /// Reads the stream until it closes.
    ///
    /// # Errors
    ///
    /// Fails if the stream is cut, or an event does not fit those before it.
    pub async fn outcome(mut self) -> anyhow::Result<RunOutcome> {
        while self.next().await?.is_some() {}
        self.outcome.ok_or_else(|| anyhow!("no end"))
    }

    async fn next_line(&mut self) -> anyhow::Result<Option<BytesMut>> {
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

    fn check(&mut self, event: &StreamEvent) -> anyhow::Result<()> {
        ensure!(self.outcome.is_none(), "an event came after the end");
        match event {
            StreamEvent::Begin { .. } => {}
            StreamEvent::Token { index, text } => {
                ensure!(*index == self.tokens, "token {index} for {}", self.tokens);
                self.tokens += 1;
                self.answer.extend_from_slice(text.as_bytes());
            }
            StreamEvent::End {
                tokens,
                length,
                digest,
            } => {
                ensure!(*tokens == self.tokens, "{} tokens of {tokens}", self.tokens);
                let found = AnswerDigest::of(&self.answer);
                check_digest(&found, &length.to_string(), digest)?;
                let answer = std::mem::take(&mut self.answer);
                self.outcome = Some(RunOutcome::Whole(answer));
            }
            StreamEvent::Failed { report } => {
                self.outcome = Some(RunOutcome::Failed(report.clone()));
            }
        }
        Ok(())
    }
}
