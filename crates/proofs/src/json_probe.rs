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

/// Time in which a probe must be answered.
const PROBE_LIMIT: Duration = Duration::from_secs(10);
/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 256 * 1024 * 1024;

/// Reads and writes JSON at the operators' interfaces of processes.
#[derive(Clone)]
pub struct JsonProbe {
    client: Client,
}

impl JsonProbe {
    /// Probe with a client of its own.
    ///
    /// ```no_run
    /// # async fn probe() -> anyhow::Result<()> {
    /// let probe = proofs::JsonProbe::new();
    /// let health: stand::TargetHealth = probe.get("http://127.0.0.1:4000/health").await?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> Self {
        let client = Client::builder().timeout(PROBE_LIMIT).finish();
        Self { client }
    }

    /// Gets a value.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, or it is an error or no such value.
    pub async fn get<Value: DeserializeOwned>(&self, url: &str) -> anyhow::Result<Value> {
        let text = self.get_text(url).await?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Gets a text.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or it is an error.
    pub async fn get_text(&self, url: &str) -> anyhow::Result<String> {
        self.text_of(url, self.client.get(url).send().await).await
    }

    /// Posts a value and gives back the answer's text.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer or it is an error.
    pub async fn post(&self, url: &str, value: &impl Serialize) -> anyhow::Result<String> {
        let sent = self.client.post(url).send_json(value).await;
        self.text_of(url, sent).await
    }

    async fn text_of<Body>(
        &self,
        url: &str,
        sent: Result<ClientResponse<Body>, SendRequestError>,
    ) -> anyhow::Result<String>
    where
        Body: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let mut reply = sent.map_err(|error| anyhow!("{url}: {error}"))?;
        let body = reply.body().limit(ANSWER_LIMIT).await;
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
