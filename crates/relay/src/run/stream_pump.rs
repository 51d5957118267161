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
            stream_reader::{StreamRead, StreamReader},
            version_bond::{VersionBond, check_version},
        },
        target::CallReply,
    },
    plan::RepeatRule,
    route::ServiceOutcome,
    setup::HttpReply,
    slog::info,
    std::{rc::Rc, time::Duration},
};

/// Share of the time for which a caller waits for an event, after which another target is asked to go on
/// with a stream without events.
const SILENCE_SHARE: f64 = 0.6;
/// Interval of checks whether another target may go on with a stream that is still without events.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Forwards a stream to its caller in complete events. If a target fails, the stream is resumed at
/// another one.
pub struct StreamPump {
    pub(super) run: RelayRun,
    pub(super) source: AnswerSource,
    pub(super) reader: StreamReader,
    /// Set while the target that brought the first event is being proven.
    pub(super) bond: Option<VersionBond>,
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
        let last_id = run.draft.head.last_event_id.as_deref();
        let mut pump = Self {
            reader: StreamReader::new(&run.core.log, source.name(), reply, last_id),
            run,
            source,
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
            match self.reader.read().await {
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
                    match unless_stopped(&core.exit, &sender, due, self.read_or_move()).await {
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
                    match unless_stopped(&core.exit, &sender, due, self.reader.read()).await {
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

    /// Reads the next complete events. Once a stream that may be resumed has brought no complete event for too
    /// long, even if single bytes arrive, another target is asked to go on as soon as one may.
    async fn read_or_move(&mut self) -> StreamRead {
        let rule = &self.run.draft.rule;
        let limit = rule.first_event_limit;
        let Some(limit) = limit.filter(|_| rule.repeat == RepeatRule::Resumable) else {
            return self.reader.read().await;
        };
        let mut wait = limit.mul_f64(SILENCE_SHARE);
        loop {
            if let Ok(read) = actix_rt::time::timeout(wait, self.reader.read()).await {
                return read;
            }
            if self.reader.has_position() && self.run.leave_silent(self.source.name()) {
                return self.move_from_silent().await;
            }
            wait = SILENCE_CHECK_INTERVAL;
        }
    }

    /// Records at the target what was read from it.
    fn record_read(&mut self, read: &StreamRead) {
        match read {
            StreamRead::Events(_) => {
                let bond = self.bond.take();
                self.bond = bond.and_then(|bond| bond.settle_now(&mut self.run));
                check_version(&mut self.run, &self.source);
                self.source.record_event();
            }
            StreamRead::End => self.source.record_end(self.reader.ends_with_connection()),
            StreamRead::Broken => {}
        }
    }

    fn on_complete(mut self) {
        self.source.set_outcome(ServiceOutcome::Answered);
        if self.source.slot().is_some() {
            record_completion(&self.run);
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
