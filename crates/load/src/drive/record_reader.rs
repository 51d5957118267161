use {
    awc::Client,
    serde::de::DeserializeOwned,
    stand::{CallRecord, StandControl},
    std::{collections::BTreeMap, time::Duration},
};

/// Time for one question to a target.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer of a target, in bytes.
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

/// What a target stand-in says of its work.
pub struct TargetReport {
    /// Calls that it saw.
    pub records: Vec<CallRecord>,
    /// Postings that it applied, by `customer/request`.
    pub postings: BTreeMap<String, u64>,
    /// Its behaviour now.
    pub control: StandControl,
}

/// Reads the records of target stand-ins.
pub struct RecordReader {
    client: Client,
}

impl RecordReader {
    /// Reader without open connections.
    pub fn new() -> Self {
        Self {
            client: Client::builder().timeout(RECORD_TIMEOUT).finish(),
        }
    }

    /// Asks one target; `None` if it does not answer.
    pub async fn read(&self, address: &str) -> Option<TargetReport> {
        Some(TargetReport {
            records: self.get(address, "records").await?,
            postings: self.get(address, "postings").await?,
            control: self.get(address, "control").await?,
        })
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Option<T> {
        let url = format!("http://{address}/{path}");
        let mut reply = self.client.get(url).send().await.ok()?;
        reply.json().limit(MAX_RECORD_BYTES).await.ok()
    }
}
