use {
    crate::{
        caller::{AnswerSender, build_reply},
        dialect::RelayRefusal,
        ledger::{PanicMark, RequestEnd, RequestPlace},
        run::{
            answer_source::AnswerSource,
            pump_stop::{PumpStop, unless_stopped},
            relay_run::RelayRun,
            run_request::{log_answer, record_completion},
            send_next::{SendAnswer, send_next},
            send_once::fault_outcome,
            version_bond::{VersionBond, check_version},
        },
        target::{CallReply, EventSplitter},
    },
    bytes::Bytes,
    plan::RepeatRule,
    retry::SendFault,
    route::ServiceOutcome,
    setup::HttpReply,
    slog::{debug, info},
    std::rc::Rc,
};

/// Share of the time for which a caller waits for an event, after which a stream without events is
/// resumed elsewhere.
const STALL_SHARE: f64 = 0.6;

/// Outcome of a read from a stream.
enum StreamRead {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The connection failed, or the stream ended within an event.
    Broken,
}

/// Forwards a stream to its caller in complete events. If a target fails, the stream is resumed at
/// another one.
pub struct StreamPump {
    run: RelayRun,
    source: AnswerSource,
    reply: CallReply,
    /// True once an event was read from the source.
    has_events: bool,
    splitter: EventSplitter,
    /// Set while the target that brought the first event is being proven.
    bond: Option<VersionBond>,
}

impl StreamPump {
    /// Waits for the first event, then answers the caller and forwards the rest in the background.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is no first event in time.
    pub async fn start(
        run: RelayRun,
        source: AnswerSource,
        reply: CallReply,
    ) -> Result<HttpReply, RelayRefusal> {
        let due = run.draft.first_event_deadline;
        let status = reply.status;
        let mut headers = reply.headers.clone();
        headers.retain(|(name, _)| name != "content-length" && name != "keep-alive");
        let mut pump = Self {
            run,
            source,
            reply,
            has_events: false,
            splitter: EventSplitter::default(),
            bond: None,
        };
        let result = tokio::time::timeout_at(due.into(), pump.read_first_events()).await;
        let first_read = match result {
            Ok(read) => read?,
            Err(_) => return Err(pump.run.deadline_refusal(true)),
        };
        if matches!(first_read, StreamRead::Events(_)) {
            pump.bond = VersionBond::begin(&mut pump.run, &pump.source);
        }
        let core = pump.run.core.clone();
        let elapsed = pump.run.draft.arrived.elapsed();
        core.metrics.first_byte.observe(elapsed.as_secs_f64());
        pump.run.open.set_place(RequestPlace::Events);
        let (sender, body) = AnswerSender::open();
        let answer = build_reply(&core, status, &headers, body);
        actix_rt::spawn(pump.forward(first_read, sender));
        Ok(answer)
    }

    /// Reads the first events; if the target fails before them, the request is sent to another one.
    async fn read_first_events(&mut self) -> Result<StreamRead, RelayRefusal> {
        loop {
            match self.read_events().await {
                StreamRead::Broken => self.resume().await?,
                read => {
                    self.record_read(&read);
                    self.run.free_inputs();
                    return Ok(read);
                }
            }
        }
    }

    /// Forwards the stream to its end, until the caller leaves or until the deadline.
    async fn forward(mut self, first_read: StreamRead, sender: AnswerSender) {
        let _mark = PanicMark::new(&self.run.open);
        let due = self.run.draft.deadline;
        let core = Rc::clone(&self.run.core);
        let mut read = first_read;
        loop {
            read = match read {
                StreamRead::Events(events) => {
                    let sent = tokio::select! {
                        biased;
                        sent = sender.send(events) => sent,
                        () = core.exit.until_cut() => {
                            return self.on_stop(PumpStop::Exiting);
                        }
                    };
                    if sent.is_err() {
                        return self.on_caller_left();
                    }
                    match unless_stopped(&core.exit, &sender, due, self.read_before_stall()).await {
                        Ok(read) => {
                            self.record_read(&read);
                            read
                        }
                        Err(stop) => return self.on_stop(stop),
                    }
                }
                StreamRead::End => {
                    self.on_complete();
                    return sender.finish();
                }
                StreamRead::Broken => {
                    let resume_result =
                        unless_stopped(&core.exit, &sender, due, self.resume()).await;
                    match resume_result {
                        Ok(Ok(())) => {}
                        Ok(Err(refusal)) => {
                            return self.cut(RequestEnd::CutByTarget, &refusal.detail);
                        }
                        Err(stop) => return self.on_stop(stop),
                    }
                    match unless_stopped(&core.exit, &sender, due, self.read_events()).await {
                        Ok(read) => {
                            self.record_read(&read);
                            self.run.free_inputs();
                            read
                        }
                        Err(stop) => return self.on_stop(stop),
                    }
                }
            };
        }
    }

    /// Reads the next complete events. A stream that another target may resume counts as broken once
    /// it brings no complete event for too long, even if single bytes arrive.
    async fn read_before_stall(&mut self) -> StreamRead {
        let rule = &self.run.draft.rule;
        let limit = rule.first_event_limit;
        let Some(limit) = limit.filter(|_| rule.repeat == RepeatRule::Resumable) else {
            return self.read_events().await;
        };
        let stall_limit = limit.mul_f64(STALL_SHARE);
        match actix_rt::time::timeout(stall_limit, self.read_events()).await {
            Ok(read) => read,
            Err(_) => {
                info!(self.run.core.log, "stream read failed"; "reason" => "no event in time",
                    "target" => self.source.name());
                StreamRead::Broken
            }
        }
    }

    /// Reads the next complete events from the current target.
    async fn read_events(&mut self) -> StreamRead {
        loop {
            match self.reply.next_chunk().await {
                Ok(Some(chunk)) => {
                    self.splitter.push(&chunk);
                    let events = self.splitter.take_events();
                    if !events.is_empty() {
                        return StreamRead::Events(events);
                    }
                    if self.splitter.has_oversized_event() {
                        info!(self.run.core.log, "stream read failed"; "reason" => "endless event",
                            "target" => self.source.name());
                        return StreamRead::Broken;
                    }
                }
                Ok(None) if self.is_cut_short() => return StreamRead::Broken,
                Ok(None) => return StreamRead::End,
                Err(fault) => {
                    debug!(self.run.core.log, "stream read failed"; "reason" => ?fault);
                    return StreamRead::Broken;
                }
            }
        }
    }

    /// Sends the request again, for the rest of the stream after the last complete event.
    async fn resume(&mut self) -> Result<(), RelayRefusal> {
        let mut fault = SendFault::Lost;
        let mut place = self.source.name().to_string();
        self.source.set_outcome(fault_outcome(fault));
        // The target must have stopped before another one goes on.
        self.reply.close();
        self.splitter.discard_partial_event();
        info!(self.run.core.log, "stream broken";
            "request" => &self.run.draft.head.request_id, "target" => &place,
            "last_event" => self.splitter.last_id());
        self.source.check_crash(&self.run.draft);
        if let Some(bond) = self.bond.take() {
            bond.settle(&mut self.run).await;
        }
        let last_id = self.splitter.last_id().map(String::from);
        let last_id = last_id.or_else(|| self.run.draft.head.last_event_id.clone());
        loop {
            // Fails unless the stream may be resumed or no target has run the request.
            self.run.on_fault(&place, fault)?;
            let due = self.run.draft.deadline;
            match send_next(&mut self.run, due, last_id.as_deref()).await? {
                Ok(SendAnswer { source, reply }) if (200..300).contains(&reply.status) => {
                    info!(self.run.core.log, "stream goes on";
                        "request" => &self.run.draft.head.request_id,
                        "target" => source.name(), "after" => last_id,
                        "version" => source.version());
                    self.source = source;
                    self.reply = reply;
                    self.has_events = false;
                    return Ok(());
                }
                Ok(SendAnswer { mut source, .. }) => {
                    source.set_outcome(ServiceOutcome::Failed);
                    place = source.name().to_string();
                    fault = SendFault::Failed;
                }
                Err(failure) => {
                    place = failure.place;
                    fault = failure.fault;
                }
            }
        }
    }

    /// Returns true if a stream whose connection has ended normally was cut all the same: it ended
    /// within an event, or before the first one with nothing but the connection to mark the end.
    fn is_cut_short(&self) -> bool {
        let is_empty = !self.has_events;
        self.splitter.has_partial_event() || (is_empty && self.reply.ends_with_connection)
    }

    /// Records at the target what was read from it.
    fn record_read(&mut self, read: &StreamRead) {
        match read {
            StreamRead::Events(_) => {
                self.has_events = true;
                let bond = self.bond.take();
                self.bond = bond.and_then(|bond| bond.settle_now(&mut self.run));
                check_version(&mut self.run, &self.source);
                self.source.record_event();
            }
            StreamRead::End => self.source.record_end(self.reply.ends_with_connection),
            StreamRead::Broken => {}
        }
    }

    fn on_complete(mut self) {
        self.source.set_outcome(ServiceOutcome::Answered);
        if let Some(slot) = self.source.slot() {
            record_completion(&self.run, slot.target());
        }
        log_answer(&self.run, &self.source, 200);
    }

    fn on_caller_left(self) {
        info!(self.run.core.log, "caller left"; "request" => &self.run.draft.head.request_id,
            "ms" => self.run.draft.arrived.elapsed().as_millis() as u64);
    }

    fn on_stop(self, stop: PumpStop) {
        match stop {
            PumpStop::CallerLeft => self.on_caller_left(),
            PumpStop::DeadlinePassed => self.cut(RequestEnd::CutAtDeadline, "time is over"),
            PumpStop::Exiting => self.cut(RequestEnd::CutAtExit, "this entry exits"),
        }
    }

    /// Records why the connection to the caller is closed early, so that the caller does not take the
    /// stream for complete.
    fn cut(self, end: RequestEnd, reason: &str) {
        self.run.open.set_end(end);
        info!(self.run.core.log, "stream cut"; "request" => &self.run.draft.head.request_id,
            "target" => self.source.name(), "reason" => reason,
            "ms" => self.run.draft.arrived.elapsed().as_millis() as u64);
    }
}
