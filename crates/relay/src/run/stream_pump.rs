use {
    crate::{
        caller::{AnswerBody, BodyCut, reply_from},
        dialect::RelayRefusal,
        run::{
            call_place::CallPlace,
            relay_run::RelayRun,
            run_request::{log_answer, record_whole, watch_death},
            send_once::{fault_end, send_once},
        },
        target::{EventSplitter, LinkReply},
    },
    bytes::Bytes,
    retry::SendFault,
    route::ServiceOutcome,
    setup::HttpReply,
    slog::{debug, info},
    std::{future::Future, time::Instant},
    tokio::sync::mpsc,
};

/// Parts of an answer that may wait for their caller.
const WAITING_PARTS: usize = 16;

/// How reading a stream went on.
enum StreamStep {
    /// Whole events.
    Events(Bytes),
    /// Its end.
    End,
    /// It broke.
    Broken,
}

/// Passes a stream on, event by event, through changes of its target.
pub struct StreamPump {
    run: RelayRun,
    place: CallPlace,
    reply: LinkReply,
    splitter: EventSplitter,
}

impl StreamPump {
    /// Waits for the first event, then answers the caller and passes on the rest.
    ///
    /// # Errors
    ///
    /// Gives the final refusal if there is no first event.
    pub async fn start(
        run: RelayRun,
        place: CallPlace,
        reply: LinkReply,
    ) -> Result<HttpReply, RelayRefusal> {
        let due = run.draft.first_due;
        let status = reply.status;
        let mut headers = reply.headers.clone();
        headers.retain(|(name, _)| name != "content-length" && name != "keep-alive");
        let mut pump = Self {
            run,
            place,
            reply,
            splitter: EventSplitter::default(),
        };
        let first = tokio::time::timeout_at(due.into(), pump.first_step()).await;
        let first = match first {
            Ok(step) => step?,
            Err(_) => return Err(pump.run.late_refusal(true)),
        };
        let core = pump.run.core.clone();
        let spent = pump.run.draft.arrived.elapsed();
        core.meters.first_byte.observe(spent.as_secs_f64());
        let (sender, receiver) = mpsc::channel(WAITING_PARTS);
        let answer = reply_from(&core, status, &headers, AnswerBody::new(receiver));
        actix_rt::spawn(pump.pass(first, sender));
        Ok(answer)
    }

    /// The first events, at whichever target they come from.
    async fn first_step(&mut self) -> Result<StreamStep, RelayRefusal> {
        loop {
            match self.step().await {
                StreamStep::Broken => self.go_on().await?,
                step => {
                    self.place.first_event();
                    self.run.release_inputs();
                    return Ok(step);
                }
            }
        }
    }

    async fn pass(mut self, first: StreamStep, sender: mpsc::Sender<Result<Bytes, BodyCut>>) {
        let due = self.run.draft.due;
        let mut step = first;
        loop {
            step = match step {
                StreamStep::Events(events) => {
                    if sender.send(Ok(events)).await.is_err() {
                        return self.on_caller_gone();
                    }
                    match or_end(&sender, due, self.step()).await {
                        Ok(step) => step,
                        Err(end) => return self.on_end(end, &sender).await,
                    }
                }
                StreamStep::End => return self.on_whole(),
                StreamStep::Broken => {
                    let gone_on = or_end(&sender, due, self.go_on()).await;
                    match gone_on {
                        Ok(Ok(())) => {}
                        Ok(Err(refusal)) => {
                            return self.cut(&sender, &refusal.detail).await;
                        }
                        Err(end) => return self.on_end(end, &sender).await,
                    }
                    match or_end(&sender, due, self.step()).await {
                        Ok(step) => {
                            self.place.first_event();
                            self.run.release_inputs();
                            step
                        }
                        Err(end) => return self.on_end(end, &sender).await,
                    }
                }
            };
        }
    }

    /// Next whole events of the target that runs the request now.
    async fn step(&mut self) -> StreamStep {
        loop {
            match self.reply.next_part().await {
                Ok(Some(part)) => {
                    self.splitter.push(&part);
                    let events = self.splitter.take_whole();
                    if !events.is_empty() {
                        return StreamStep::Events(events);
                    }
                }
                Ok(None) if self.splitter.has_rest() => return StreamStep::Broken,
                Ok(None) => return StreamStep::End,
                Err(fault) => {
                    debug!(self.run.core.log, "stream read failed"; "reason" => ?fault);
                    return StreamStep::Broken;
                }
            }
        }
    }

    /// Finds a target that goes on after the last whole event.
    async fn go_on(&mut self) -> Result<(), RelayRefusal> {
        let mut fault = SendFault::Lost;
        let mut target = self.place.target().to_string();
        self.place.set_end(fault_end(fault));
        self.splitter.drop_rest();
        info!(self.run.core.log, "stream broken";
            "request" => &self.run.draft.head.request, "target" => &target,
            "last_event" => self.splitter.last_id());
        if let Some(address) = self.address(&target) {
            watch_death(&self.run, &target, address, fault);
        }
        loop {
            // The tracker ends it here unless the stream may resume or nothing ran.
            self.run.on_fault(&target, fault)?;
            self.run.prepare().await?;
            let (mut place, pick) = self.run.place()?;
            let last = self.splitter.last_id().map(String::from);
            let last = last.or_else(|| self.run.draft.head.resumes_after.clone());
            match send_once(&self.run, &mut place, &pick, last.as_deref()).await {
                Ok(reply) if (200..300).contains(&reply.status) => {
                    info!(self.run.core.log, "stream goes on";
                        "request" => &self.run.draft.head.request,
                        "target" => &pick.target, "after" => last);
                    self.place = place;
                    self.reply = reply;
                    return Ok(());
                }
                Ok(_) => {
                    place.set_end(ServiceOutcome::Failed);
                    fault = SendFault::Failed;
                }
                Err(failed) => fault = failed,
            }
            target = pick.target;
        }
    }

    fn address(&self, target: &str) -> Option<std::net::SocketAddr> {
        let state = self.run.core.state.borrow();
        state.targets.get(target).map(|row| row.address)
    }

    fn on_whole(mut self) {
        self.place.set_end(ServiceOutcome::Answered);
        record_whole(&self.run, self.place.target());
        log_answer(&self.run, &self.place, 200);
    }

    fn on_caller_gone(self) {
        info!(self.run.core.log, "caller left"; "request" => &self.run.draft.head.request,
            "ms" => self.run.draft.arrived.elapsed().as_millis() as u64);
    }

    async fn on_end(self, end: PumpEnd, sender: &mpsc::Sender<Result<Bytes, BodyCut>>) {
        match end {
            PumpEnd::CallerGone => self.on_caller_gone(),
            PumpEnd::Due => self.cut(sender, "time is over").await,
        }
    }

    async fn cut(self, sender: &mpsc::Sender<Result<Bytes, BodyCut>>, reason: &str) {
        info!(self.run.core.log, "stream cut"; "request" => &self.run.draft.head.request,
            "target" => self.place.target(), "reason" => reason,
            "ms" => self.run.draft.arrived.elapsed().as_millis() as u64);
        // A caller that has left needs no cut.
        let _ = sender.send(Err(BodyCut)).await;
    }
}

/// Why a stream ends before its target ended it.
enum PumpEnd {
    CallerGone,
    Due,
}

/// The outcome of the work, unless the caller leaves or the time is over first.
async fn or_end<T>(
    sender: &mpsc::Sender<Result<Bytes, BodyCut>>,
    due: Instant,
    work: impl Future<Output = T>,
) -> Result<T, PumpEnd> {
    tokio::select! {
        biased;
        outcome = work => Ok(outcome),
        () = sender.closed() => Err(PumpEnd::CallerGone),
        () = actix_rt::time::sleep_until(due.into()) => Err(PumpEnd::Due),
    }
}
