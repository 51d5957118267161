use {
    actix_http::StatusCode,
    awc::Client,
    base::HostList,
    std::{net::SocketAddr, time::Duration},
};

/// Largest size of one value of the configuration service.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";
/// Largest size of the host list.
const MAX_HOST_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Reads the configuration service and the host list of the platform.
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

    /// Reads a value of the configuration service; `None` if that fails.
    pub async fn read_value(&self, key: &str) -> Option<String> {
        let bytes = self
            .read_body(&format!("values/{key}"), MAX_VALUE_BYTES)
            .await?;
        String::from_utf8(bytes).ok()
    }

    /// Returns a value and its revision. With `after`, waits up to `wait` for a later revision than
    /// that one and returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer in time, or not with a valid value.
    pub async fn watch_value(
        &self,
        key: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<(String, u64)>, ReadFailure> {
        let (path, timeout) = match after {
            None => (format!("values/{key}"), self.read_time),
            Some(after) => {
                let wait_ms = wait.as_millis();
                let path = format!("values/{key}?after={after}&wait_ms={wait_ms}");
                (path, wait + self.read_time)
            }
        };
        let reading = self.fetch(&path, MAX_VALUE_BYTES);
        let reply = actix_rt::time::timeout(timeout, reading)
            .await
            .map_err(|_| ReadFailure)??;
        let Some((bytes, revision)) = reply else {
            return Ok(None);
        };
        let text = String::from_utf8(bytes).map_err(|_| ReadFailure)?;
        Ok(Some((text, revision)))
    }

    /// Reads the host list; `None` if that fails.
    pub async fn read_host_list(&self) -> Option<HostList> {
        let bytes = self.read_body("hosts", MAX_HOST_LIST_BYTES).await?;
        serde_json::from_slice(&bytes).ok()
    }

    async fn read_body(&self, path: &str, limit: usize) -> Option<Vec<u8>> {
        let reading = self.fetch(path, limit);
        let reply = actix_rt::time::timeout(self.read_time, reading)
            .await
            .ok()?;
        reply.ok().flatten().map(|(bytes, _)| bytes)
    }

    /// Returns the body and its revision, 0 if the answer states none; `None` if the service
    /// answers that the value has not changed.
    async fn fetch(&self, path: &str, limit: usize) -> Result<Option<(Vec<u8>, u64)>, ReadFailure> {
        let url = format!("http://{}/{path}", self.address);
        let mut response = self.client.get(url).send().await.map_err(|_| ReadFailure)?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if response.status() != StatusCode::OK {
            return Err(ReadFailure);
        }
        let revision = response.headers().get(REVISION_HEADER);
        let revision = revision
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        let body = response
            .body()
            .limit(limit)
            .await
            .map_err(|_| ReadFailure)?;
        Ok(Some((body.to_vec(), revision)))
    }
}

/// The platform did not answer in time, or its answer is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadFailure;
