use {
    crate::{FleetPlan, RunOutcome, RunRequest, TestStream, test_stream::ReplyBody},
    anyhow::{Context, anyhow, bail, ensure},
    awc::{Client, ClientRequest, ClientResponse, Connector},
    base::{
        AnswerDigest, CREDENTIAL_HEADER, CUSTOMER_HEADER, DIGEST_HEADER, EntryAddress,
        IDEMPOTENT_HEADER, LENGTH_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER,
        SHEET_HEADER, STREAM_HEADER, SheetVersion, TICKET_HEADER,
    },
    futures_util::StreamExt,
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
    /// Proof that this version was in force, to be sent back with requests.
    #[serde(default)]
    pub sheet_proof: String,
    /// Fresh tickets of the entry that answered.
    #[serde(default)]
    pub tickets: Vec<String>,
}

/// A caller: it checks that each answer is whole.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
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
        }
    }

    /// Asks an entry which addresses a customer should use.
    ///
    /// # Errors
    ///
    /// Fails if the entry gives no such answer.
    pub async fn addresses(&self, entry: &str, customer: &str) -> anyhow::Result<AddressAnswer> {
        let url = format!("http://{entry}/addresses?customer={customer}");
        let credential = FleetPlan::credential(customer);
        let request = self
            .client
            .get(url)
            .insert_header((CREDENTIAL_HEADER, credential));
        let reply = request
            .send()
            .await
            .map_err(|error| anyhow!("send: {error}"))?;
        let status = reply.status();
        let body = whole_body(reply).await?;
        ensure!(
            status.is_success(),
            "{status}: {}",
            String::from_utf8_lossy(&body)
        );
        Ok(serde_json::from_slice(&body)?)
    }

    /// Fresh ticket of an entry for a customer.
    ///
    /// # Errors
    ///
    /// Fails if the entry gives none.
    pub async fn ticket(&self, entry: &str, customer: &str) -> anyhow::Result<String> {
        let answer = self.addresses(entry, customer).await?;
        answer.tickets.into_iter().next().context("no ticket")
    }

    /// Sends a request to an entry once.
    pub async fn run(&self, entry: &str, request: &RunRequest) -> RunOutcome {
        match self.try_run(entry, request).await {
            Ok(outcome) => outcome,
            Err(error) => RunOutcome::Broken(format!("{error:#}")),
        }
    }

    /// Sends a streamed request and reads its answer event by event; dropping the stream leaves.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, or the entry answers with a failure.
    pub async fn open(&self, entry: &str, request: &RunRequest) -> anyhow::Result<TestStream> {
        let sent = self.head(entry, request).send_body(request.input.clone());
        let reply = sent.await.map_err(|error| anyhow!("send: {error}"))?;
        let status = reply.status();
        if !status.is_success() {
            let body = whole_body(reply).await?;
            bail!("{status}: {}", String::from_utf8_lossy(&body));
        }
        Ok(TestStream::new(reply))
    }

    async fn try_run(&self, entry: &str, request: &RunRequest) -> anyhow::Result<RunOutcome> {
        let sent = self.head(entry, request).send_body(request.input.clone());
        let reply = sent.await.map_err(|error| anyhow!("send: {error}"))?;
        let status = reply.status();
        if !status.is_success() {
            let body = whole_body(reply).await?;
            let report = serde_json::from_slice(&body);
            let report = report.with_context(|| {
                let text = String::from_utf8_lossy(&body);
                format!("{status} without a report: {text}")
            })?;
            return Ok(RunOutcome::Failed(report));
        }
        if request.stream {
            TestStream::new(reply).outcome().await
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
        let version = request.sheet.map(|version| version.to_string());
        if let Some(seen) = request.sheet_proof.clone().or(version) {
            head = head.insert_header((SHEET_HEADER, seen));
        }
        head
    }
}

impl Default for TestCaller {
    fn default() -> Self {
        Self::new()
    }
}

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

/// Checks an answer against the length and digest that came with it.
pub(crate) fn check_digest(found: &AnswerDigest, length: &str, hex: &str) -> anyhow::Result<()> {
    let bytes = found.length();
    ensure!(bytes.to_string() == length, "{bytes} bytes of `{length}`");
    ensure!(found.hex() == hex, "digest {} for `{hex}`", found.hex());
    Ok(())
}
