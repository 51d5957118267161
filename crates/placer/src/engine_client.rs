use {
    crate::http_reader::HttpReader,
    actix_http::StatusCode,
    anyhow::ensure,
    order::{EngineOrder, EngineState},
    std::time::{Duration, Instant},
};

/// Speaks to the orders' interface of engines.
#[derive(Clone)]
pub struct EngineClient {
    reader: HttpReader,
}

impl EngineClient {
    pub fn new() -> Self {
        Self {
            reader: HttpReader::new(),
        }
    }

    /// Reads the state of an engine.
    pub async fn read(&self, address: &str, limit: Duration) -> anyhow::Result<EngineState> {
        let url = format!("http://{address}/engine");
        let (status, body) = self.reader.get(&url, None, limit).await?;
        ensure!(status.is_success(), "{url}: {status}");
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends an order; `false` if the engine refused it for its fencing number. After an error
    /// the engine may have obeyed it or not.
    pub async fn order(
        &self,
        address: &str,
        order: &EngineOrder,
        expires_at: Instant,
    ) -> anyhow::Result<bool> {
        let url = format!("http://{address}/engine/order");
        let (status, _) = self.reader.post(&url, order, expires_at).await?;
        ensure!(
            status.is_success() || status == StatusCode::CONFLICT,
            "{url}: {status}"
        );
        Ok(status.is_success())
    }
}
