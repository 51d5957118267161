use {
    crate::{ArrivalShape, WorkloadFault},
    base::{CustomerId, PipelineId, RequestPriority},
    serde::{Deserialize, Serialize},
    setup::StartError,
    std::{collections::BTreeSet, fs, path::Path, time::Duration},
};

/// A workload as it stands in its TOML file: who asks for what, how often.
///
/// ```
/// let text = r#"
///     name = "small"
///     duration = "2s"
///     [[pipeline]]
///     name = "lookup"
///     deadline = "1s"
///     stage = [{ call = "find", engine = false }]
///     [[customer]]
///     name = "dairy"
///     credential = "secret"
///     [[flow]]
///     pipeline = "lookup"
///     arrival = { kind = "poisson", rate = 5.0 }
/// "#;
/// let workload: load::WorkloadFile = toml::from_str(text).unwrap();
/// workload.check().unwrap();
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadFile {
    /// Name in reports.
    pub name: String,
    /// Time over which requests arrive.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Pipelines that are asked for.
    pub pipeline: Vec<PipelineLoad>,
    /// Customers that ask.
    pub customer: Vec<CustomerLoad>,
    /// Arrivals.
    pub flow: Vec<ArrivalFlow>,
}

/// Requests to one pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineLoad {
    /// Name of the pipeline.
    pub name: PipelineId,
    /// Time from arrival in which the answer must be whole.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Priority of the requests.
    #[serde(default)]
    pub priority: RequestPriority,
    /// False if a request may run at most once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// True if answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Bytes of request text.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Tokens that a generating stage is asked for.
    #[serde(default)]
    pub tokens: u64,
    /// Stages in the order in which they run, to tell the right answer.
    pub stage: Vec<StageLoad>,
}

/// One stage of a pipeline as far as its answer goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageLoad {
    /// Kind of call.
    pub call: String,
    /// True if a model engine runs it.
    #[serde(default)]
    pub engine: bool,
    /// True if each whole answer must stand in the target's postings exactly once.
    #[serde(default)]
    pub posting: bool,
}

/// A customer that asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Name of the customer.
    pub name: CustomerId,
    /// Its credential.
    pub credential: String,
    /// Its part of each flow, relative to the other customers.
    #[serde(default = "one")]
    pub share: f64,
}

/// Arrivals of requests to one pipeline, divided among customers by their shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalFlow {
    /// Pipeline that is asked for.
    pub pipeline: PipelineId,
    /// Customers that ask; empty means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Arrivals of all these customers together.
    pub arrival: ArrivalShape,
}

impl WorkloadFile {
    /// Reads and checks a workload file.
    ///
    /// # Errors
    ///
    /// Names file, line and key of what is wrong.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StartError> {
        let path = path.as_ref();
        let workload: Self = setup::load_settings(path)?;
        workload.check().map_err(|fault| {
            let text = fs::read_to_string(path).unwrap_or_default();
            StartError::Settings(fault.to_line(path, &text))
        })?;
        Ok(workload)
    }

    /// Checks what the types do not: references, names and rates.
    ///
    /// # Errors
    ///
    /// Returns the key that is wrong, its value and what would be right.
    pub fn check(&self) -> Result<(), WorkloadFault> {
        check_unique("pipeline.name", self.pipeline.iter().map(|row| &row.name))?;
        check_unique("customer.name", self.customer.iter().map(|row| &row.name))?;
        for flow in &self.flow {
            self.check_flow(flow)?;
        }
        for pipeline in &self.pipeline {
            if pipeline.stage.is_empty() {
                let message = format!("`{}` needs at least one stage", pipeline.name);
                return Err(WorkloadFault::new("pipeline.stage", "", message));
            }
        }
        if let Some(row) = self.customer.iter().find(|row| !is_valid_rate(row.share)) {
            let message = "a share must be a number not below zero";
            return Err(WorkloadFault::new("customer.share", row.share, message));
        }
        Ok(())
    }

    /// Row of a pipeline.
    pub fn pipeline(&self, name: &str) -> Option<&PipelineLoad> {
        self.pipeline.iter().find(|row| row.name == name)
    }

    /// Row of a customer.
    pub fn customer(&self, name: &str) -> Option<&CustomerLoad> {
        self.customer.iter().find(|row| row.name == name)
    }

    fn check_flow(&self, flow: &ArrivalFlow) -> Result<(), WorkloadFault> {
        if self.pipeline(&flow.pipeline).is_none() {
            let message = format!("no pipeline `{}`; name one of the file", flow.pipeline);
            return Err(WorkloadFault::new("flow.pipeline", &flow.pipeline, message));
        }
        if let Some(name) = flow
            .customers
            .iter()
            .find(|name| self.customer(name).is_none())
        {
            let message = format!("no customer `{name}`; name one of the file");
            return Err(WorkloadFault::new("flow.customers", name, message));
        }
        if !is_valid_rate(flow.arrival.peak_rate()) {
            let message = "a rate must be a number not below zero";
            return Err(WorkloadFault::new("flow.arrival", "", message));
        }
        Ok(())
    }
}

fn check_unique<'a>(
    key: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), WorkloadFault> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            let message = format!("`{name}` stands twice");
            return Err(WorkloadFault::new(key, name, message));
        }
    }
    Ok(())
}

fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}

fn yes() -> bool {
    true
}

fn one() -> f64 {
    1.0
}

fn default_body() -> usize {
    200
}
