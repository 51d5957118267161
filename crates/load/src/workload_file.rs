use {
    crate::{ArrivalShape, WorkloadFault},
    base::{CustomerId, PipelineId, RequestPriority},
    serde::{Deserialize, Serialize},
    setup::StartError,
    std::{collections::BTreeSet, fs, path::Path, time::Duration},
};

/// A workload, as a TOML file describes it: the customers, the pipelines that they request, and the
/// arrival rates.
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
    /// Name of the workload in reports.
    pub name: String,
    /// Time over which requests arrive.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Pipelines that are requested.
    pub pipeline: Vec<PipelineLoad>,
    /// Customers that send requests.
    pub customer: Vec<CustomerLoad>,
    /// Arrival flows, each to one pipeline.
    pub flow: Vec<ArrivalFlow>,
}

/// A pipeline and the requests to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineLoad {
    /// Name of the pipeline.
    pub name: PipelineId,
    /// Time from arrival within which the answer must be complete.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Priority of the requests.
    #[serde(default)]
    pub priority: RequestPriority,
    /// True if a request may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// True if answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of random letters in the body of a request.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Number of tokens requested from a generating stage.
    #[serde(default)]
    pub tokens: u64,
    /// Stages in the order in which they run; the expected answer is computed from them.
    pub stage: Vec<StageLoad>,
}

/// One stage of a pipeline, with what determines its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageLoad {
    /// Kind of call that the stage makes.
    pub call: String,
    /// True if a model engine runs the stage.
    #[serde(default)]
    pub engine: bool,
    /// True if a complete answer implies that a target applied the posting exactly once.
    #[serde(default)]
    pub posting: bool,
}

/// A customer that sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Name of the customer.
    pub name: CustomerId,
    /// Credential that the customer's callers send.
    pub credential: String,
    /// Weight of the customer in each flow, relative to the other customers.
    #[serde(default = "one")]
    pub share: f64,
}

/// Arrivals of requests to one pipeline, split among customers by their shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalFlow {
    /// Pipeline that is requested.
    pub pipeline: PipelineId,
    /// Customers that send the requests; empty means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Arrival rate of all these customers together.
    pub arrival: ArrivalShape,
}

impl WorkloadFile {
    /// Reads and checks a workload file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is wrong; then names file, line and key.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StartError> {
        let path = path.as_ref();
        let workload: Self = setup::load_settings(path)?;
        workload.check().map_err(|fault| {
            let text = fs::read_to_string(path).unwrap_or_default();
            StartError::Settings(fault.to_line(path, &text))
        })?;
        Ok(workload)
    }

    /// Checks what parsing does not: unique names, references between tables, stages, rates and
    /// shares.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), WorkloadFault> {
        check_unique(
            "pipeline.name",
            self.pipeline.iter().map(|pipeline| &pipeline.name),
        )?;
        check_unique(
            "customer.name",
            self.customer.iter().map(|customer| &customer.name),
        )?;
        for flow in &self.flow {
            self.check_flow(flow)?;
        }
        for pipeline in &self.pipeline {
            if pipeline.stage.is_empty() {
                let message = format!("`{}` needs at least one stage", pipeline.name);
                return Err(WorkloadFault::new("pipeline.stage", "", message));
            }
        }
        if let Some(customer) = self
            .customer
            .iter()
            .find(|customer| !is_valid_rate(customer.share))
        {
            let message = "shares must be finite and not negative";
            return Err(WorkloadFault::new(
                "customer.share",
                customer.share,
                message,
            ));
        }
        Ok(())
    }

    /// Returns the pipeline of this name.
    pub fn pipeline(&self, name: &str) -> Option<&PipelineLoad> {
        self.pipeline.iter().find(|pipeline| pipeline.name == name)
    }

    /// Returns the customer of this name.
    pub fn customer(&self, name: &str) -> Option<&CustomerLoad> {
        self.customer.iter().find(|customer| customer.name == name)
    }

    fn check_flow(&self, flow: &ArrivalFlow) -> Result<(), WorkloadFault> {
        if self.pipeline(&flow.pipeline).is_none() {
            let message = format!("no pipeline `{}` in this file", flow.pipeline);
            return Err(WorkloadFault::new("flow.pipeline", &flow.pipeline, message));
        }
        if let Some(name) = flow
            .customers
            .iter()
            .find(|name| self.customer(name).is_none())
        {
            let message = format!("no customer `{name}` in this file");
            return Err(WorkloadFault::new("flow.customers", name, message));
        }
        if !is_valid_rate(flow.arrival.peak_rate()) {
            let message = "rates must be finite and not negative";
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
            let message = format!("duplicate name `{name}`");
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
