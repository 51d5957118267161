use {
    super::{
        arrival_clock::sleep_until,
        entry_client::{EntryCall, SendRecord},
        load_driver::LoadDriver,
    },
    load::{
        AnswerCheck, CallerStep, PipelineLoad, PlannedRequest, RequestCaller, RequestOutcome,
        RequestResult, SendResult,
    },
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after the deadline within which an entry must still answer; after it the request counts
/// as unanswered.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Runs the caller of one request from its scheduled arrival to its end.
pub struct RequestDriver {
    driver: Rc<LoadDriver>,
    planned: PlannedRequest,
    arrival: Instant,
    calls: u32,
    failed_dials: u32,
    interruptions: Vec<String>,
    refusals: BTreeMap<String, u64>,
    token_times: Vec<Instant>,
}

impl RequestDriver {
    /// Creates the driver of a request with this scheduled arrival.
    pub fn new(driver: Rc<LoadDriver>, planned: PlannedRequest, arrival: Instant) -> Self {
        Self {
            driver,
            planned,
            arrival,
            calls: 0,
            failed_dials: 0,
            interruptions: Vec::new(),
            refusals: BTreeMap::new(),
            token_times: Vec::new(),
        }
    }

    /// Takes the steps that the caller decides on until the request has ended. Returns `None` if
    /// the workload lacks the request's pipeline or customer.
    pub async fn run(mut self) -> Option<RequestResult> {
        let driver = Rc::clone(&self.driver);
        let pipeline = driver.workload.pipeline(&self.planned.pipeline)?;
        let customer = driver.workload.customer(&self.planned.customer)?;
        let deadline = self.arrival + pipeline.deadline;
        let mut caller = RequestCaller::new(deadline, pipeline.idempotent);
        let mut step = caller.start(Instant::now());
        let outcome = loop {
            step = match step {
                CallerStep::Finish(outcome) => break outcome,
                CallerStep::AskAddresses { at } => {
                    sleep_until(at).await;
                    match driver.ranked_addresses(customer).await {
                        Some(addresses) => caller.handle_addresses(Instant::now(), addresses),
                        None => caller.handle_no_addresses(Instant::now()),
                    }
                }
                CallerStep::Send {
                    address,
                    at,
                    ticket,
                } => {
                    sleep_until(at).await;
                    let ticket = self.choose_ticket(&mut caller, &address, ticket);
                    let result = self.send(&address, ticket.as_deref(), deadline).await?;
                    self.next_step(&mut caller, result)
                }
            };
        };
        Some(self.into_result(pipeline, outcome))
    }

    /// Passes the result of a send to the caller and returns its next step. Invalidates the
    /// customer's addresses if the caller asks for new ones.
    fn next_step(&self, caller: &mut RequestCaller, result: SendResult) -> CallerStep {
        let step = caller.handle_result(Instant::now(), result);
        if let CallerStep::AskAddresses { .. } = step {
            self.driver.invalidate_addresses(&self.planned.customer);
        }
        step
    }

    /// Returns the ticket of the request. If it needs one and has none, assigns it an unused ticket
    /// of the entry; `None` if there is none.
    fn choose_ticket(
        &self,
        caller: &mut RequestCaller,
        address: &str,
        ticket: Option<String>,
    ) -> Option<String> {
        if ticket.is_some() || !caller.needs_ticket() {
            return ticket;
        }
        let ticket = self.driver.take_ticket(&self.planned.customer, address)?;
        caller.set_ticket(ticket.clone());
        Some(ticket)
    }

    async fn send(
        &mut self,
        address: &str,
        ticket: Option<&str>,
        deadline: Instant,
    ) -> Option<SendResult> {
        let workload = &self.driver.workload;
        let call = EntryCall {
            address,
            customer: workload.customer(&self.planned.customer)?,
            pipeline: workload.pipeline(&self.planned.pipeline)?,
            planned: &self.planned,
            ticket,
            deadline,
            sheet_version: self.driver.sheet_version(&self.planned.customer),
        };
        let mut record = SendRecord::default();
        let check = AnswerCheck::for_request(call.pipeline, call.planned);
        let send_timeout = (deadline + ANSWER_GRACE).saturating_duration_since(Instant::now());
        let sending = self.driver.client.send(&call, check, &mut record);
        let result = match actix_rt::time::timeout(send_timeout, sending).await {
            Ok(result) => result,
            Err(_) => SendResult::TimedOut,
        };
        self.record_send(address, &result, record);
        Some(result)
    }

    /// Adds a send to the counts and stores the tickets that it yielded.
    fn record_send(&mut self, address: &str, result: &SendResult, mut record: SendRecord) {
        if self.token_times.is_empty() {
            self.token_times = record.token_times;
        }
        match result {
            SendResult::NotSent => self.failed_dials += 1,
            SendResult::Interrupted => self.interruptions.push(address.to_string()),
            SendResult::Failed(report) => {
                record.tickets.extend(report.tickets.iter().cloned());
                let name = format!("{}:{}", report.verdict, report.reason);
                *self.refusals.entry(name).or_default() += 1;
            }
            _ => {}
        }
        if *result != SendResult::NotSent {
            self.calls += 1;
        }
        self.driver
            .store_tickets(&self.planned.customer, address, record.tickets);
    }

    fn into_result(self, pipeline: &PipelineLoad, outcome: RequestOutcome) -> RequestResult {
        let times = &self.token_times;
        let first_token = times.first().map(|time| time.duration_since(self.arrival));
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        RequestResult {
            customer: self.planned.customer,
            pipeline: pipeline.name.clone(),
            request: self.planned.request,
            outcome,
            latency: self.arrival.elapsed(),
            deadline: pipeline.deadline,
            calls: self.calls,
            failed_dials: self.failed_dials,
            interruptions: self.interruptions,
            refusals: self.refusals,
            first_token,
            gaps,
            posting: pipeline.stage.iter().any(|stage| stage.posting),
        }
    }
}
