use {
    crate::{ArrivalFlow, CustomerLoad, WorkloadFile},
    base::{CustomerId, PipelineId, RequestId},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// A request with its scheduled time, at which it is sent whether or not earlier ones have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Scheduled time, counted from the start of the run.
    pub at: Duration,
    /// Customer that sends the request.
    pub customer: CustomerId,
    /// Pipeline that is requested.
    pub pipeline: PipelineId,
    /// Id of the request, unique in the schedule.
    pub request: RequestId,
    /// Body: random letters and the number of tokens that the answer should have.
    pub body: String,
}

/// Seed and duration of a run, and the factors that its rates are multiplied by.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduleParameters {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Factor by which all rates are multiplied.
    pub rate_factor: f64,
    /// Further factors for the rates of single customers; 1 for those that are not listed.
    pub customer_rate_factors: BTreeMap<CustomerId, f64>,
}

impl ScheduleParameters {
    /// Creates parameters that leave all rates as the workload has them.
    pub fn new(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            rate_factor: 1.0,
            customer_rate_factors: BTreeMap::new(),
        }
    }
}

/// All requests of a run in order of arrival. The same workload and parameters give the same
/// schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArrivalSchedule {
    /// Requests sorted by time.
    pub requests: Vec<PlannedRequest>,
}

impl ArrivalSchedule {
    /// Draws the arrivals. Each customer of each flow has its own generator stream, so that a
    /// changed rate of one leaves the arrivals of the others unchanged.
    ///
    /// ```
    /// use {load::{ArrivalSchedule, ScheduleParameters, WorkloadFile}, std::time::Duration};
    ///
    /// let workload: WorkloadFile = toml::from_str(r#"
    ///     name = "small"
    ///     duration = "2s"
    ///     pipeline = [{ name = "lookup", deadline = "1s", stage = [{ call = "find" }] }]
    ///     customer = [{ name = "dairy", credential = "secret" }]
    ///     flow = [{ pipeline = "lookup", arrival = { kind = "poisson", rate = 50.0 } }]
    /// "#).unwrap();
    /// let parameters = ScheduleParameters::new(7, Duration::from_secs(2));
    /// let schedule = ArrivalSchedule::draw(&workload, &parameters);
    /// assert_eq!(schedule, ArrivalSchedule::draw(&workload, &parameters));
    /// ```
    pub fn draw(workload: &WorkloadFile, parameters: &ScheduleParameters) -> Self {
        let mut requests = Vec::new();
        let mut stream_index = 0;
        for flow in &workload.flow {
            let customers: Vec<&CustomerLoad> = flow_customers(workload, flow);
            let total: f64 = customers.iter().map(|customer| customer.share).sum();
            for customer in customers {
                let mut generator = ChaCha8Rng::seed_from_u64(parameters.seed);
                generator.set_stream(stream_index);
                stream_index += 1;
                let customer_rate_factor = parameters
                    .customer_rate_factors
                    .get(&customer.name)
                    .unwrap_or(&1.0);
                let rate_factor = customer.share / total.max(f64::MIN_POSITIVE)
                    * parameters.rate_factor
                    * customer_rate_factor;
                let times = draw_times(flow, parameters.duration, rate_factor, &mut generator);
                for (index, at) in times.into_iter().enumerate() {
                    let request = format!("s{}-{}-{index}", parameters.seed, stream_index);
                    requests.push(PlannedRequest {
                        at,
                        customer: customer.name.clone(),
                        pipeline: flow.pipeline.clone(),
                        request,
                        body: draw_body(workload, flow, &mut generator),
                    });
                }
            }
        }
        requests.sort_by(|one, other| (one.at, &one.request).cmp(&(other.at, &other.request)));
        Self { requests }
    }
}

fn flow_customers<'a>(workload: &'a WorkloadFile, flow: &ArrivalFlow) -> Vec<&'a CustomerLoad> {
    workload
        .customer
        .iter()
        .filter(|customer| flow.customers.is_empty() || flow.customers.contains(&customer.name))
        .collect()
}

/// Draws the arrival times of one customer by thinning: draws a Poisson process at the peak rate
/// and keeps each arrival with the probability `rate / peak rate` at its time.
fn draw_times(
    flow: &ArrivalFlow,
    duration: Duration,
    rate_factor: f64,
    generator: &mut impl Rng,
) -> Vec<Duration> {
    let peak_rate = flow.arrival.peak_rate();
    let mut times = Vec::new();
    if peak_rate * rate_factor <= 0.0 {
        return times;
    }
    let mut at_seconds = 0.0;
    loop {
        let uniform: f64 = generator.random();
        at_seconds += -(1.0 - uniform).ln() / (peak_rate * rate_factor);
        if at_seconds >= duration.as_secs_f64() {
            return times;
        }
        let at = Duration::from_secs_f64(at_seconds);
        let sample: f64 = generator.random();
        if sample * peak_rate < flow.arrival.rate_at(at, duration) {
            times.push(at);
        }
    }
}

fn draw_body(workload: &WorkloadFile, flow: &ArrivalFlow, generator: &mut impl Rng) -> String {
    let Some(pipeline) = workload.pipeline(&flow.pipeline) else {
        return String::new();
    };
    let mut body = String::with_capacity(pipeline.body + 16);
    while body.len() < pipeline.body {
        body.push(char::from(generator.random_range(b'a'..=b'z')));
    }
    body.push_str(&format!(" tokens={}", pipeline.tokens));
    body
}
