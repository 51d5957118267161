use {
    anyhow::{anyhow, ensure},
    awc::{
        Client, ClientResponse,
        error::{PayloadError, SendRequestError},
    },
    bytes::Bytes,
    futures_util::Stream,
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Maximum time until the head of an answer arrives.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// HTTP client that gets and posts JSON at the interfaces of processes under test.
#[derive(Clone)]
pub struct JsonProbe {
    client: Client,
}

impl JsonProbe {
    /// Returns a probe with its own HTTP client and connections.
    ///
    /// ```no_run
    /// # async fn probe() -> anyhow::Result<()> {
    /// let probe = proofs::JsonProbe::new();
    /// let health: stand::TargetHealth = probe.get("http://127.0.0.1:4000/health").await?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { client }
    }

    /// Gets a URL and decodes the answer from JSON.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, its status is an error, or it can't be decoded.
    pub async fn get<Value: DeserializeOwned>(&self, url: &str) -> anyhow::Result<Value> {
        let text = self.get_text(url).await?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Gets a URL and returns the answer as text.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or its status is an error.
    pub async fn get_text(&self, url: &str) -> anyhow::Result<String> {
        self.read_reply(url, self.client.get(url).send().await)
            .await
    }

    /// Posts a value as JSON and returns the answer as text.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or its status is an error.
    pub async fn post(&self, url: &str, value: &impl Serialize) -> anyhow::Result<String> {
        let sent = self.client.post(url).send_json(value).await;
        self.read_reply(url, sent).await
    }

    async fn read_reply<Body>(
        &self,
        url: &str,
        sent: Result<ClientResponse<Body>, SendRequestError>,
    ) -> anyhow::Result<String>
    where
        Body: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let mut reply = sent.map_err(|error| anyhow!("{url}: {error}"))?;
        let body = reply.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| anyhow!("{url}: {error}"))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let status = reply.status();
        ensure!(status.is_success(), "{url} answered {status}: {text}");
        Ok(text)
    }
}

impl Default for JsonProbe {
    fn default() -> Self {
        Self::new()
    }
}
