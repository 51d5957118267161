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

/// Maximum time until the head of an answer arrives.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of connections that a caller may have open at once.
const MAX_CONNECTIONS: usize = 10_000;

/// Answer of an entry to the question which addresses a customer should use.
#[derive(Debug, Clone, Deserialize)]
pub struct AddressAnswer {
    /// Addresses of entries in the order in which to try them.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the caller may use the answer, in milliseconds.
    pub keep_ms: u64,
    /// Version of the sheet in force on the entry.
    pub sheet_version: SheetVersion,
    /// Proof that this version was in force, which the caller sends with its requests; empty if
    /// the answer has none.
    #[serde(default)]
    pub sheet_proof: String,
    /// Unused tickets of the entry that answered, for non-idempotent requests.
    #[serde(default)]
    pub tickets: Vec<String>,
}

/// HTTP client that sends requests to entries and checks that each answer is complete by its length
/// and digest.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
}

impl TestCaller {
    /// Returns a caller with its own pool of connections.
    ///
    /// ```no_run
    /// # async fn call() -> anyhow::Result<()> {
    /// let caller = proofs::TestCaller::new();
    /// let answer = caller.fetch_addresses("127.0.0.1:4000", "farm").await?;
    /// let request = proofs::RunRequest::new("farm", "read", "r1", b"hay");
    /// let outcome = caller.run(&answer.addresses[0].address, &request).await;
    /// assert!(outcome.complete_answer().is_some());
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> Self {
        let connector = Connector::new().limit(MAX_CONNECTIONS);
        let client = Client::builder().connector(connector).timeout(HEAD_TIMEOUT);
        Self {
            client: client.finish(),
        }
    }

    /// Asks an entry which addresses a customer should use.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, its status is an error, or it can't be decoded.
    pub async fn fetch_addresses(
        &self,
        entry: &str,
        customer: &str,
    ) -> anyhow::Result<AddressAnswer> {
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
        let body = read_body(reply).await?;
        ensure!(
            status.is_success(),
            "{status}: {}",
            String::from_utf8_lossy(&body)
        );
        Ok(serde_json::from_slice(&body)?)
    }

    /// Fetches an unused ticket of an entry for a customer.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer or returns no ticket.
    pub async fn fetch_ticket(&self, entry: &str, customer: &str) -> anyhow::Result<String> {
        let answer = self.fetch_addresses(entry, customer).await?;
        answer.tickets.into_iter().next().context("no ticket")
    }

    /// Sends a request to an entry once, without retries, and reads the answer to its end.
    pub async fn run(&self, entry: &str, request: &RunRequest) -> RunOutcome {
        match self.try_run(entry, request).await {
            Ok(outcome) => outcome,
            Err(error) => RunOutcome::Broken(format!("{error:#}")),
        }
    }

    /// Sends a streamed request; the caller reads the answer event by event. Dropping the stream
    /// closes the connection, as a caller does that leaves.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or the status of the answer is an error.
    pub async fn open_stream(
        &self,
        entry: &str,
        request: &RunRequest,
    ) -> anyhow::Result<TestStream> {
        let sent = self
            .build_request(entry, request)
            .send_body(request.input.clone());
        let reply = sent.await.map_err(|error| anyhow!("send: {error}"))?;
        let status = reply.status();
        if !status.is_success() {
            let body = read_body(reply).await?;
            bail!("{status}: {}", String::from_utf8_lossy(&body));
        }
        Ok(TestStream::new(reply))
    }

    async fn try_run(&self, entry: &str, request: &RunRequest) -> anyhow::Result<RunOutcome> {
        let sent = self
            .build_request(entry, request)
            .send_body(request.input.clone());
        let reply = sent.await.map_err(|error| anyhow!("send: {error}"))?;
        let status = reply.status();
        if !status.is_success() {
            let body = read_body(reply).await?;
            let report = serde_json::from_slice(&body);
            let report = report.with_context(|| {
                let text = String::from_utf8_lossy(&body);
                format!("{status} without a failure report: {text}")
            })?;
            return Ok(RunOutcome::Failed(report));
        }
        if request.stream {
            TestStream::new(reply).read_outcome().await
        } else {
            read_unary_answer(reply).await
        }
    }

    fn build_request(&self, entry: &str, request: &RunRequest) -> ClientRequest {
        let url = format!("http://{entry}/run/{}", request.pipeline);
        let remaining = request.remaining.as_millis().to_string();
        let mut builder = self
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
            builder = builder.insert_header((TICKET_HEADER, ticket.as_str()));
        }
        let version = request.seen_version.map(|version| version.to_string());
        if let Some(seen) = request.sheet_proof.clone().or(version) {
            builder = builder.insert_header((SHEET_HEADER, seen));
        }
        builder
    }
}

impl Default for TestCaller {
    fn default() -> Self {
        Self::new()
    }
}

async fn read_body(mut reply: ClientResponse<impl ReplyBody>) -> anyhow::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = reply.next().await {
        body.extend_from_slice(&chunk.map_err(|error| anyhow!("body: {error}"))?);
    }
    Ok(body)
}

async fn read_unary_answer(reply: ClientResponse<impl ReplyBody>) -> anyhow::Result<RunOutcome> {
    let header = |name: &str| {
        let value = reply.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    let length = header(LENGTH_HEADER).unwrap_or_default();
    let hex = header(DIGEST_HEADER).unwrap_or_default();
    let body = read_body(reply).await?;
    check_digest(&AnswerDigest::of(&body), &length, &hex)?;
    Ok(RunOutcome::Complete(body))
}

/// Checks the length and digest of an answer against those that were sent with it.
pub(crate) fn check_digest(found: &AnswerDigest, length: &str, hex: &str) -> anyhow::Result<()> {
    let bytes = found.length();
    ensure!(
        bytes.to_string() == length,
        "answer of {bytes} bytes was announced as `{length}` bytes"
    );
    ensure!(
        found.hex() == hex,
        "answer with digest {} was announced with `{hex}`",
        found.hex()
    );
    Ok(())
}
