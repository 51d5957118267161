use {
    crate::{
        dialect::RelayRefusal,
        ledger::RequestPlace,
        run::{
            send_next::SendAnswer, send_once::fault_outcome, stream_pump::StreamPump,
            stream_reader::StreamRead, stream_successor::find_successor,
        },
    },
    base::FailureReason,
    retry::SendFault,
    slog::info,
};

/// How a stream goes on at another target.
impl StreamPump {
    /// Asks another target to go on. The silent one is left only once the other one answers: whichever is first
    /// has the stream.
    pub(super) async fn move_from_silent(&mut self) -> StreamRead {
        info!(self.run.core.log, "stream is silent";
            "request" => &self.run.draft.head.request_id, "target" => self.source.name(),
            "last_event" => self.reader.last_id());
        let bond = self.bond.take();
        self.bond = bond.and_then(|bond| bond.settle_now(&mut self.run));
        let last_id = self.reader.last_id().map(String::from);
        let stream_type = self.reader.stream_type().clone();
        let Self { run, reader, .. } = self;
        let mut is_broken = false;
        let successor = {
            let finding = find_successor(run, last_id.as_deref(), &stream_type);
            tokio::pin!(finding);
            loop {
                tokio::select! {
                    biased;
                    read = reader.read(), if !is_broken => match read {
                        StreamRead::Broken => is_broken = true,
                        read => break Err(read),
                    },
                    found = &mut finding => break Ok(found),
                }
            }
        };
        match successor {
            Err(read) => return self.stay(read),
            Ok(Ok(answer)) => {
                self.record_loss();
                self.take_over(answer);
            }
            Ok(Err(_)) if is_broken => return self.stay(StreamRead::Broken),
            Ok(Err(refusal)) => {
                info!(self.run.core.log, "nobody goes on with a silent stream";
                    "request" => &self.run.draft.head.request_id, "reason" => &refusal.detail);
            }
        }
        let read = self.reader.read().await;
        self.stay(read)
    }

    /// Passes on what was read from the source that the stream stays with, after another one was asked.
    fn stay(&mut self, read: StreamRead) -> StreamRead {
        self.run.open.set_place(RequestPlace::Events);
        self.run.free_inputs();
        read
    }

    /// Sends the request again, for the rest of the stream after the last complete event.
    pub(super) async fn resume(&mut self) -> Result<(), RelayRefusal> {
        // The target must have stopped before another one goes on.
        self.reader.close();
        info!(self.run.core.log, "stream broken";
            "request" => &self.run.draft.head.request_id, "target" => self.source.name(),
            "last_event" => self.reader.last_id());
        self.record_loss();
        if let Some(bond) = self.bond.take() {
            bond.settle(&mut self.run).await;
        }
        if !self.reader.has_position() {
            let detail = "the events have no ids to go on after";
            let refusal = RelayRefusal::not_run(FailureReason::TargetLost, detail);
            return Err(self.run.with_verdict(refusal));
        }
        // Fails unless the stream may be resumed or no target has run the request.
        self.run.on_fault(self.source.name(), SendFault::Lost)?;
        let (last_id, stream_type) = (self.reader.last_id(), self.reader.stream_type());
        let answer = find_successor(&mut self.run, last_id, stream_type).await?;
        self.take_over(answer);
        Ok(())
    }

    /// Goes on with the answer of another source.
    fn take_over(&mut self, answer: SendAnswer) {
        let SendAnswer { source, reply } = answer;
        self.reader.replace(source.name(), reply);
        info!(self.run.core.log, "stream goes on";
            "request" => &self.run.draft.head.request_id,
            "target" => source.name(), "after" => self.reader.last_id(),
            "version" => source.version());
        self.source = source;
    }

    /// Records at the source that it has lost the stream.
    fn record_loss(&mut self) {
        self.source.set_outcome(fault_outcome(SendFault::Lost));
        self.source.check_crash(&self.run.draft);
    }
}
