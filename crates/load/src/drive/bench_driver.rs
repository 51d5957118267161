use {
    super::{
        arrival_clock::watch_until,
        entry_client::{EntryCall, EntryClient, SentCall},
        processor_time::processor_time,
    },
    load::{
        AddedTime, AnswerCheck, CustomerLoad, LatencyRecord, LatencySummary, PipelineLoad,
        PlannedRequest, SendResult, SustainedRate,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Letters of a request's text.
const BODY_LETTER: &str = "h";

/// Which way a call takes.
#[derive(Clone)]
pub enum CallRoute {
    /// Directly to a target.
    Direct(String),
    /// Through an entry.
    Entry(String),
}

/// Times of the calls on one way.
#[derive(Default)]
struct RouteRecord {
    latency: LatencyRecord,
    first_token: LatencyRecord,
    failures: u64,
}

impl RouteRecord {
    fn add(&mut self, arrival: Instant, result: &SendResult, sent: &SentCall) {
        if *result != SendResult::Whole {
            self.failures += 1;
            return;
        }
        self.latency.add(arrival.elapsed());
        if let Some(first) = sent.token_times.first() {
            self.first_token.add(first.duration_since(arrival));
        }
    }

    /// Times to the first token of a stream, else to the end.
    fn summary(&self, stream: bool) -> LatencySummary {
        if stream {
            self.first_token.summary()
        } else {
            self.latency.summary()
        }
    }
}

/// Counts of callers that send again at once.
#[derive(Default)]
struct LoopCount {
    whole: Cell<u64>,
    tokens: Cell<u64>,
    failures: Cell<u64>,
}

/// Measures one entry against direct calls to its targets.
pub struct BenchDriver {
    client: EntryClient,
    customer: CustomerLoad,
    numbers: Cell<u64>,
}

impl BenchDriver {
    /// Driver that calls as one customer.
    pub fn new(customer: CustomerLoad) -> Rc<Self> {
        Rc::new(Self {
            client: EntryClient::new(),
            customer,
            numbers: Cell::new(0),
        })
    }

    /// Sends the same call at an even rate alternately on both ways; times count from the
    /// scheduled start of each call.
    pub async fn added_time(
        self: &Rc<Self>,
        pipeline: &PipelineLoad,
        routes: [CallRoute; 2],
        rate: f64,
        run: Duration,
    ) -> AddedTime {
        let record = Rc::new(RefCell::new([
            RouteRecord::default(),
            RouteRecord::default(),
        ]));
        let start = Instant::now();
        let step = Duration::from_secs_f64(0.5 / rate);
        let count = (run.as_secs_f64() / step.as_secs_f64()) as u32;
        let mut tasks = Vec::new();
        for index in 0..count {
            let arrival = start + step * index;
            watch_until(arrival).await;
            let way = index as usize % routes.len();
            let (driver, pipeline) = (Rc::clone(self), pipeline.clone());
            let (record, route) = (Rc::clone(&record), routes[way].clone());
            tasks.push(actix_rt::spawn(async move {
                let (result, sent) = driver.call(&pipeline, &route).await;
                record.borrow_mut()[way].add(arrival, &result, &sent);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let [direct, entry] = record.take();
        AddedTime {
            rate,
            direct: direct.summary(pipeline.stream),
            entry: entry.summary(pipeline.stream),
            failures: direct.failures + entry.failures,
        }
    }

    /// Lets callers send again at once for some time and counts what the entry carries.
    pub async fn sustained(
        self: &Rc<Self>,
        pipeline: &PipelineLoad,
        entry: &str,
        callers: usize,
        run: Duration,
        processes: &[u32],
    ) -> SustainedRate {
        let before: Vec<Option<Duration>> =
            processes.iter().map(|id| processor_time(*id)).collect();
        let count = Rc::new(LoopCount::default());
        let start = Instant::now();
        let tasks: Vec<_> = (0..callers)
            .map(|_| {
                let (driver, pipeline) = (Rc::clone(self), pipeline.clone());
                let route = CallRoute::Entry(entry.to_string());
                let count = Rc::clone(&count);
                actix_rt::spawn(async move {
                    while start.elapsed() < run {
                        driver.count_call(&pipeline, &route, &count).await;
                    }
                })
            })
            .collect();
        for task in tasks {
            let _ = task.await;
        }
        let seconds = start.elapsed().as_secs_f64();
        let used = processes.iter().zip(before).filter_map(|(id, before)| {
            let used = processor_time(*id)?.checked_sub(before?)?;
            Some((*id, used.as_secs_f64() / seconds))
        });
        SustainedRate {
            callers,
            requests: count.whole.get() as f64 / seconds,
            tokens: count.tokens.get() as f64 / seconds,
            cores: used.collect(),
            failures: count.failures.get(),
        }
    }

    async fn count_call(&self, pipeline: &PipelineLoad, route: &CallRoute, count: &LoopCount) {
        let (result, sent) = self.call(pipeline, route).await;
        let tokens = sent.token_times.len() as u64;
        count.tokens.set(count.tokens.get() + tokens);
        if result == SendResult::Whole {
            count.whole.set(count.whole.get() + 1);
        } else {
            count.failures.set(count.failures.get() + 1);
        }
    }

    async fn call(&self, pipeline: &PipelineLoad, route: &CallRoute) -> (SendResult, SentCall) {
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
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
        let check = AnswerCheck::of_request(pipeline, &planned);
        let mut sent = SentCall::default();
        let result = match route {
            CallRoute::Direct(_) => self.client.send_direct(&call, check, &mut sent).await,
            CallRoute::Entry(_) => self.client.send(&call, check, &mut sent).await,
        };
        (result, sent)
    }
}
