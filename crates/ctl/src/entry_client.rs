use {
    anyhow::{Context, anyhow, ensure},
    awc::{Client, ClientRequest},
    serde_json::Value,
    std::time::Duration,
};

/// Time in which an entry must answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Longest answer that is read, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Speaks to the operators' interface of one entry.
pub struct EntryClient {
    client: Client,
    address: String,
}

impl EntryClient {
    /// Client of the entry at `ip:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: Client::builder().timeout(ANSWER_LIMIT).finish(),
            address: address.into(),
        }
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> anyhow::Result<Value> {
        self.send(self.client.get(self.url(path))).await
    }

    /// Posts to a path.
    pub async fn post(&self, path: &str) -> anyhow::Result<Value> {
        self.send(self.client.post(self.url(path))).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send(&self, request: ClientRequest) -> anyhow::Result<Value> {
        let address = &self.address;
        let sent = request.send().await;
        let mut reply = sent.map_err(|error| anyhow!("entry {address}: {error}"))?;
        let reading = reply.body().limit(ANSWER_BYTES);
        let body = actix_rt::time::timeout(ANSWER_LIMIT, reading).await;
        let body = body.with_context(|| format!("entry {address}: answer takes too long"))?;
        let body = body.map_err(|error| anyhow!("entry {address}: {error}"))?;
        let status = reply.status();
        let text = String::from_utf8_lossy(&body);
        ensure!(
            status.is_success(),
            "entry {address}: {status}: {}",
            text.trim()
        );
        serde_json::from_slice(&body).with_context(|| format!("entry {address}: not JSON"))
    }
}
