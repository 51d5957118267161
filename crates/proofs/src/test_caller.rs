use {
    crate::{JsonProbe, RunOutcome, RunRequest},
    anyhow::{anyhow, bail, ensure},
    awc::{Client, ClientRequest, ClientResponse, Connector, error::PayloadError},
    base::{
        AnswerDigest, CREDENTIAL_HEADER, CUSTOMER_HEADER, DIGEST_HEADER, EntryAddress,
        IDEMPOTENT_HEADER, LENGTH_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER,
        SHEET_HEADER, STREAM_HEADER, SheetVersion, StreamEvent, TICKET_HEADER,
    },
    bytes::Bytes,
    futures_util::{Stream, StreamExt},
    serde::Deserialize,
    std::time::Duration,
};

/// Time after which a caller gives up waiting for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(60);
/// Connections that a caller may hold open to one entry.
const CONNECTION_LIMIT: usize = 10_000;

/// Answer of an entry that was asked which addresses to use.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressAnswer {
    /// Entries in the order in which to try them.
    pub addresses: Vec<EntryAddress>,
    /// Milliseconds for which the answer may be kept.
    pub keep_ms: u64,
    /// Version of the sheet in force.
    pub sheet_version: SheetVersion,
    /// Fresh tickets of the entry that answered.
    #[serde(default)]
    pub tickets: Vec<String>,
}

/// A caller: it checks that each answer is whole.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
    probe: JsonProbe,
}

impl TestCaller {
    /// Caller with pooled connections of its own.
    ///
    /// ```no_run
    /// # async fn call() -> anyhow::Result<()> {
    /// let caller = proofs::TestCaller::new();
    /// let answer = caller.addresses("127.0.0.1:4000", "farm").await?;
    /// let request = proofs::RunRequest::new("farm", "read", "r1", b"hay");
    /// let outcome = caller.run(&answer.addresses[0].address, &request).await;
    /// assert!(outcome.whole().is_some());
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> Self {
        let connector = Connector::new().limit(CONNECTION_LIMIT);
        let client = Client::builder().connector(connector).timeout(HEAD_LIMIT);
        Self {
            client: client.finish(),
            probe: JsonProbe::new(),
        }
    }

    /// Asks an entry which addresses a customer should use.
    ///
    /// # Errors
    ///
    /// Fails if the entry gives no such answer.
    pub async fn addresses(&self, entry: &str, customer: &str) -> anyhow::Result<AddressAnswer> {
        let url = format!("http://{entry}/addresses?customer={customer}");
        self.probe.get(&url).await
    }

    /// Sends a request to an entry once.
    pub async fn run(&self, entry: &str, request: &RunRequest) -> RunOutcome {
        match self.try_run(entry, request).await {
            Ok(outcome) => outcome,
            Err(error) => RunOutcome::Broken(format!("{error:#}")),
        }
    }

    async fn try_run(&self, entry: &str, request: &RunRequest) -> anyhow::Result<RunOutcome> {
        let sent = self.head(entry, request).send_body(request.input.clone());
        let reply = sent.await.map_err(|error| anyhow!("send: {error}"))?;
        if !reply.status().is_success() {
            let status = reply.status();
            let body = whole_body(reply).await?;
            let report = serde_json::from_slice(&body).map_err(|error| {
                anyhow!("{status}, {error}: {}", String::from_utf8_lossy(&body))
            })?;
            return Ok(RunOutcome::Failed(report));
        }
        if request.stream {
            read_stream(reply).await
        } else {
            read_unary(reply).await
        }
    }

    fn head(&self, entry: &str, request: &RunRequest) -> ClientRequest {
        let url = format!("http://{entry}/run/{}", request.pipeline);
        let remaining = request.remaining.as_millis().to_string();
        let mut head = self
            .client
            .post(url)
            .insert_header((CUSTOMER_HEADER, request.customer.as_str()))
            .insert_header((CREDENTIAL_HEADER, request.credential.as_str()))
            .insert_header((REQUEST_HEADER, request.request.as_str()))
            .insert_header((REMAINING_HEADER, remaining))
            .insert_header((PRIORITY_HEADER, request.priority.to_string()))
            .insert_header((IDEMPOTENT_HEADER, request.idempotent.to_string()))
            .insert_header((STREAM_HEADER, request.stream.to_string()));
        if let Some(ticket) = &request.ticket {
            head = head.insert_header((TICKET_HEADER, ticket.as_str()));
        }
        if let Some(version) = request.sheet {
            head = head.insert_header((SHEET_HEADER, version.to_string()));
        }
        head
    }
}

impl Default for TestCaller {
    fn default() -> Self {
        Self::new()
    }
}

/// Body of an answer as it arrives.
trait ReplyBody: Stream<Item = Result<Bytes, PayloadError>> + Unpin {}

impl<Body: Stream<Item = Result<Bytes, PayloadError>> + Unpin> ReplyBody for Body {}

async fn whole_body(mut reply: ClientResponse<impl ReplyBody>) -> anyhow::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = reply.next().await {
        body.extend_from_slice(&chunk.map_err(|error| anyhow!("body: {error}"))?);
    }
    Ok(body)
}

async fn read_unary(reply: ClientResponse<impl ReplyBody>) -> anyhow::Result<RunOutcome> {
    let header = |name: &str| {
        let value = reply.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    let length = header(LENGTH_HEADER).unwrap_or_default();
    let hex = header(DIGEST_HEADER).unwrap_or_default();
    let body = whole_body(reply).await?;
    check_digest(&AnswerDigest::of(&body), &length, &hex)?;
    Ok(RunOutcome::Whole(body))
}

/// Reads a stream to its end; anything after the end is an error too.
async fn read_stream(reply: ClientResponse<impl ReplyBody>) -> anyhow::Result<RunOutcome> {
    let mut stream = StreamCheck::default();
    let body = whole_body(reply).await?;
    for line in body.split_inclusive(|byte| *byte == b'\n') {
        stream.take(StreamEvent::from_line(line)?)?;
    }
    match stream.outcome {
        Some(outcome) => Ok(outcome),
        None => bail!("the stream was cut after {} tokens", stream.tokens),
    }
}

/// A stream as far as it was read.
#[derive(Default)]
struct StreamCheck {
    answer: Vec<u8>,
    tokens: u64,
    outcome: Option<RunOutcome>,
}

impl StreamCheck {
    fn take(&mut self, event: StreamEvent) -> anyhow::Result<()> {
        ensure!(self.outcome.is_none(), "an event came after the end");
        match event {
            StreamEvent::Begin { .. } => {}
            StreamEvent::Token { index, text } => {
                ensure!(index == self.tokens, "token {index} for {}", self.tokens);
                self.tokens += 1;
                self.answer.extend_from_slice(text.as_bytes());
            }
            StreamEvent::End {
                tokens,
                length,
                digest,
            } => {
                ensure!(tokens == self.tokens, "{} tokens of {tokens}", self.tokens);
                let found = AnswerDigest::of(&self.answer);
                check_digest(&found, &length.to_string(), &digest)?;
                let answer = std::mem::take(&mut self.answer);
                self.outcome = Some(RunOutcome::Whole(answer));
            }
            StreamEvent::Failed { report } => self.outcome = Some(RunOutcome::Failed(report)),
        }
        Ok(())
    }
}

fn check_digest(found: &AnswerDigest, length: &str, hex: &str) -> anyhow::Result<()> {
    let bytes = found.length();
    ensure!(bytes.to_string() == length, "{bytes} bytes of `{length}`");
    ensure!(found.hex() == hex, "digest {} for `{hex}`", found.hex());
    Ok(())
}
