use {
    crate::http_client::HttpClient,
    actix_http::StatusCode,
    anyhow::ensure,
    order::{EngineOrder, EngineState},
    std::time::{Duration, Instant},
};

/// Client of the order interface of engines: `GET /engine` and `POST /engine/order`.
#[derive(Clone)]
pub struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    pub fn new() -> Self {
        Self {
            client: HttpClient::new(),
        }
    }

    /// Reads the state of the engine at `ip:port`; fails if there is no whole answer in `timeout`.
    pub async fn read_state(
        &self,
        address: &str,
        timeout: Duration,
    ) -> anyhow::Result<EngineState> {
        let url = format!("http://{address}/engine");
        let (status, body) = self.client.get(&url, None, timeout).await?;
        ensure!(status.is_success(), "{url}: {status}");
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends an order unless `expires_at` has passed. Returns `false` if the engine refused it
    /// because of its fencing token. After an error, the engine may or may not have applied it.
    pub async fn send_order(
        &self,
        address: &str,
        order: &EngineOrder,
        expires_at: Instant,
    ) -> anyhow::Result<bool> {
        let url = format!("http://{address}/engine/order");
        let (status, _) = self.client.post(&url, order, expires_at).await?;
        ensure!(
            status.is_success() || status == StatusCode::CONFLICT,
            "{url}: {status}"
        );
        Ok(status.is_success())
    }
}
