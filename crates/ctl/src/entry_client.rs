use {
    anyhow::{Context, anyhow, ensure},
    awc::{Client, ClientRequest},
    serde_json::Value,
    std::time::Duration,
};

/// Timeout for the head of an entry's answer, and again for the body that follows.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of an answer's body; a longer body is an error.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of the operators' interface of one entry.
pub struct EntryClient {
    client: Client,
    address: String,
}

impl EntryClient {
    /// Creates a client of the entry at `ip:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::builder().timeout(ANSWER_TIMEOUT).finish(),
            address: address.into(),
        }
    }

    /// Sends a GET request and returns the JSON of the answer. Fails unless its status is 2xx.
    pub async fn get(&self, path: &str) -> anyhow::Result<Value> {
        self.send(self.client.get(self.url(path))).await
    }

    /// Sends a POST request without a body and returns the JSON of the answer. Fails unless its
    /// status is 2xx.
    pub async fn post(&self, path: &str) -> anyhow::Result<Value> {
        self.send(self.client.post(self.url(path))).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send(&self, request: ClientRequest) -> anyhow::Result<Value> {
        let address = &self.address;
        let result = request.send().await;
        let mut answer = result.map_err(|error| anyhow!("entry {address}: {error}"))?;
        let reading = answer.body().limit(MAX_ANSWER_BYTES);
        let body = actix_rt::time::timeout(ANSWER_TIMEOUT, reading).await;
        let body = body.with_context(|| {
            format!("entry {address}: the answer's body did not arrive in time")
        })?;
        let body = body.map_err(|error| anyhow!("entry {address}: {error}"))?;
        let status = answer.status();
        let text = String::from_utf8_lossy(&body);
        ensure!(
            status.is_success(),
            "entry {address}: {status}: {}",
            text.trim()
        );
        serde_json::from_slice(&body)
            .with_context(|| format!("entry {address}: the answer is not JSON"))
    }
}
