use {
    actix_http::StatusCode,
    awc::Client,
    base::HostList,
    std::{net::SocketAddr, time::Duration},
};

/// Bytes that one value of the configuration service may have.
const VALUE_BYTES: usize = 1024 * 1024;
/// Bytes that the host list may have.
const LIST_BYTES: usize = 8 * 1024 * 1024;

/// Reads the platform; never writes to it.
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
    read_time: Duration,
}

impl PlatformClient {
    pub fn new(address: SocketAddr, read_time: Duration) -> Self {
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            address,
            read_time,
        }
    }

    /// Reads a value of the configuration service.
    pub async fn value(&self, key: &str) -> Option<String> {
        let bytes = self.read(&format!("values/{key}"), VALUE_BYTES).await?;
        String::from_utf8(bytes).ok()
    }

    /// Reads the host list.
    pub async fn hosts(&self) -> Option<HostList> {
        let bytes = self.read("hosts", LIST_BYTES).await?;
        serde_json::from_slice(&bytes).ok()
    }

    async fn read(&self, path: &str, limit: usize) -> Option<Vec<u8>> {
        let url = format!("http://{}/{path}", self.address);
        let reading = async {
            let mut response = self.client.get(url).send().await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let body = response.body().limit(limit).await.ok()?;
            Some(body.to_vec())
        };
        actix_rt::time::timeout(self.read_time, reading)
            .await
            .ok()
            .flatten()
    }
}
