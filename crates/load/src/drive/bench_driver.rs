use {
    super::{
        arrival_clock::spin_until,
        cpu_time::cpu_time,
        entry_client::{EntryCall, EntryClient, SendRecord},
    },
    load::{
        AddedTime, AnswerCheck, CustomerLoad, LatencyHistogram, LatencySummary, PipelineLoad,
        PlannedRequest, SendResult, SustainedRate,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Letter that a request's text repeats.
const BODY_LETTER: &str = "h";

/// Route of a call, with the address that it is sent to.
#[derive(Clone)]
pub enum CallRoute {
    /// Directly to a target.
    Direct(String),
    /// Through an entry.
    Entry(String),
}

/// Latencies and failures of the calls on one route.
#[derive(Default)]
struct RouteRecord {
    latency: LatencyHistogram,
    first_token: LatencyHistogram,
    failures: u64,
}

impl RouteRecord {
    fn add(&mut self, arrival: Instant, result: &SendResult, record: &SendRecord) {
        if *result != SendResult::Whole {
            self.failures += 1;
            return;
        }
        self.latency.add(arrival.elapsed());
        if let Some(first) = record.token_times.first() {
            self.first_token.add(first.duration_since(arrival));
        }
    }

    /// Returns the times to the first token for a stream, otherwise those to the end of the answer.
    fn summary(&self, is_streaming: bool) -> LatencySummary {
        if is_streaming {
            self.first_token.summary()
        } else {
            self.latency.summary()
        }
    }
}

/// Counts of a closed-loop measurement, summed over its callers.
#[derive(Default)]
struct CallCounts {
    whole: Cell<u64>,
    tokens: Cell<u64>,
    failures: Cell<u64>,
}

/// Measures the latency that an entry adds to direct calls, and the rate that it sustains.
pub struct BenchDriver {
    client: EntryClient,
    customer: CustomerLoad,
    last_request_number: Cell<u64>,
}

impl BenchDriver {
    /// Creates a driver that sends all requests as one customer.
    pub fn new(customer: CustomerLoad) -> Rc<Self> {
        Rc::new(Self {
            client: EntryClient::new(),
            customer,
            last_request_number: Cell::new(0),
        })
    }

    /// Sends the same call alternately on both routes, each at `rate` calls per second with even
    /// intervals. Latency counts from the scheduled start of each call, so that a delayed send is
    /// included.
    pub async fn measure_added_time(
        self: &Rc<Self>,
        pipeline: &PipelineLoad,
        routes: [CallRoute; 2],
        rate: f64,
        duration: Duration,
    ) -> AddedTime {
        let records = Rc::new(RefCell::new([
            RouteRecord::default(),
            RouteRecord::default(),
        ]));
        let start = Instant::now();
        let interval = Duration::from_secs_f64(0.5 / rate);
        let call_count = (duration.as_secs_f64() / interval.as_secs_f64()) as u32;
        let mut tasks = Vec::new();
        for index in 0..call_count {
            let arrival = start + interval * index;
            spin_until(arrival).await;
            let route_index = index as usize % routes.len();
            let (driver, pipeline) = (Rc::clone(self), pipeline.clone());
            let (records, route) = (Rc::clone(&records), routes[route_index].clone());
            tasks.push(actix_rt::spawn(async move {
                let (result, record) = driver.call(&pipeline, &route).await;
                records.borrow_mut()[route_index].add(arrival, &result, &record);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let [direct, entry] = records.take();
        AddedTime {
            rate,
            direct: direct.summary(pipeline.stream),
            entry: entry.summary(pipeline.stream),
            failures: direct.failures + entry.failures,
        }
    }

    /// Runs closed-loop callers, which send the next request as soon as the last one ended, and
    /// measures the rate that the entry sustains and the CPU time of the given processes.
    pub async fn measure_sustained_rate(
        self: &Rc<Self>,
        pipeline: &PipelineLoad,
        entry: &str,
        callers: usize,
        duration: Duration,
        processes: &[u32],
    ) -> SustainedRate {
        let used_before: Vec<Option<Duration>> =
            processes.iter().map(|pid| cpu_time(*pid)).collect();
        let counts = Rc::new(CallCounts::default());
        let start = Instant::now();
        let tasks: Vec<_> = (0..callers)
            .map(|_| {
                let (driver, pipeline) = (Rc::clone(self), pipeline.clone());
                let route = CallRoute::Entry(entry.to_string());
                let counts = Rc::clone(&counts);
                actix_rt::spawn(async move {
                    while start.elapsed() < duration {
                        driver.count_call(&pipeline, &route, &counts).await;
                    }
                })
            })
            .collect();
        for task in tasks {
            let _ = task.await;
        }
        let seconds = start.elapsed().as_secs_f64();
        let used = processes
            .iter()
            .zip(used_before)
            .filter_map(|(pid, used_before)| {
                let used = cpu_time(*pid)?.checked_sub(used_before?)?;
                Some((*pid, used.as_secs_f64() / seconds))
            });
        SustainedRate {
            callers,
            requests: counts.whole.get() as f64 / seconds,
            tokens: counts.tokens.get() as f64 / seconds,
            cores: used.collect(),
            failures: counts.failures.get(),
        }
    }

    async fn count_call(&self, pipeline: &PipelineLoad, route: &CallRoute, counts: &CallCounts) {
        let (result, record) = self.call(pipeline, route).await;
        let tokens = record.token_times.len() as u64;
        counts.tokens.set(counts.tokens.get() + tokens);
        if result == SendResult::Whole {
            counts.whole.set(counts.whole.get() + 1);
        } else {
            counts.failures.set(counts.failures.get() + 1);
        }
    }

    async fn call(&self, pipeline: &PipelineLoad, route: &CallRoute) -> (SendResult, SendRecord) {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        let text = BODY_LETTER.repeat(pipeline.body);
        let planned = PlannedRequest {
            at: Duration::ZERO,
            customer: self.customer.name.clone(),
            pipeline: pipeline.name.clone(),
            request: format!("bench-{number}"),
            body: format!("{text} tokens={}", pipeline.tokens),
        };
        let (CallRoute::Direct(address) | CallRoute::Entry(address)) = route;
        let call = EntryCall {
            address,
            customer: &self.customer,
            pipeline,
            planned: &planned,
            ticket: None,
            deadline: Instant::now() + pipeline.deadline,
            sheet_version: 0,
        };
        let check = AnswerCheck::for_request(pipeline, &planned);
        let mut record = SendRecord::default();
        let result = match route {
            CallRoute::Direct(_) => self.client.send_direct(&call, check, &mut record).await,
            CallRoute::Entry(_) => self.client.send(&call, check, &mut record).await,
        };
        (result, record)
    }
}
