use {
    awc::Client,
    serde::de::DeserializeOwned,
    stand::{CallRecord, StandControl},
    std::{collections::BTreeMap, time::Duration},
};

/// Timeout of one request to a target.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit of a target's answer.
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

/// Calls, postings and settings that a target stand-in reports.
pub struct TargetReport {
    /// Calls that it received.
    pub records: Vec<CallRecord>,
    /// Number of times that it applied each posting, by `customer/request`.
    pub postings: BTreeMap<String, u64>,
    /// Its current behaviour.
    pub control: StandControl,
}

/// Reads the records of target stand-ins.
pub struct RecordReader {
    client: Client,
}

impl RecordReader {
    /// Creates a reader; it opens connections on demand.
    pub fn new() -> Self {
        Self {
            client: Client::builder().timeout(RECORD_TIMEOUT).finish(),
        }
    }

    /// Reads the records of one target; `None` if any of the requests fails.
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
