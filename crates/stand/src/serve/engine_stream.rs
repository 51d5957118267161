use {
    super::{
        engine::Engine,
        engine_floor::SlotGuard,
        target_call::TargetCall,
        target_core::{TargetCore, crash},
    },
    actix_rt::time::Instant,
    base::{AnswerDigest, StreamEvent},
    bytes::Bytes,
    futures_util::{Stream, stream},
    stand::{CallOutcome, EchoRule},
    std::{convert::Infallible, rc::Rc, time::Duration},
};

/// Time in which the tokens sent so far leave a process that is to crash.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Lateness of a token up to which the next ones catch up.
const LATENESS_LIMIT: Duration = Duration::from_millis(20);

/// How far a stream has come.
enum StreamPhase {
    Begin,
    Tokens,
    Ended,
}

/// One streamed answer of an engine; a stream dropped early counts as cancelled.
pub struct EngineStream {
    engine: Rc<Engine>,
    call: TargetCall,
    position: usize,
    rule: EchoRule,
    phase: StreamPhase,
    slot: Option<SlotGuard>,
    digest: AnswerDigest,
    next_index: u64,
    tokens: u64,
    /// When the last token was due; the next one counts from here, so that late timers do not
    /// add up.
    due: Instant,
}

impl EngineStream {
    /// Stream for a call that was admitted at a position of the ledger.
    pub fn new(engine: Rc<Engine>, call: TargetCall, position: usize) -> Self {
        let identity = &call.identity;
        let rule = EchoRule::new(&identity.customer, &identity.request, &call.input);
        let tokens = rule.token_count();
        let resume_at = call.resume_at.min(tokens);
        let mut digest = AnswerDigest::new();
        for index in 0..resume_at {
            digest.update(rule.token_text(index).as_bytes());
        }
        Self {
            engine,
            call,
            position,
            rule,
            phase: StreamPhase::Begin,
            slot: None,
            digest,
            next_index: resume_at,
            tokens,
            due: Instant::now(),
        }
    }

    /// Lines of the stream.
    pub fn into_lines(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        stream::unfold(self, |mut stream| async move {
            let line = stream.next_line().await?;
            Some((Ok(Bytes::from(line)), stream))
        })
    }

    async fn next_line(&mut self) -> Option<Vec<u8>> {
        match self.phase {
            StreamPhase::Begin => {
                self.phase = StreamPhase::Tokens;
                let call = self.core().stated_identity(&self.call.identity);
                Some(StreamEvent::Begin { call }.to_line())
            }
            StreamPhase::Tokens => {
                self.start().await;
                self.next_token().await
            }
            StreamPhase::Ended => None,
        }
    }

    /// Waits for a slot and, unless the prompt's prefix is cached, for the prefill.
    async fn start(&mut self) {
        if self.slot.is_some() {
            return;
        }
        self.slot = self.engine.floor.enter(self.call.priority).await;
        if !self.engine.cache.borrow_mut().touch(&self.call.input) {
            let millis = self.core().control().prefill_ms;
            actix_rt::time::sleep(self.core().service_time(millis)).await;
        }
        self.due = Instant::now();
    }

    async fn next_token(&mut self) -> Option<Vec<u8>> {
        let control = self.core().control().clone();
        if control.cut_answer && self.next_index >= self.tokens / 2 {
            self.end(CallOutcome::Failed);
            return None;
        }
        if self.next_index >= self.tokens {
            return Some(self.end_line());
        }
        let others = self.engine.floor.running().saturating_sub(1);
        let millis = control.token_ms * (1.0 + control.batch_cost * others as f64);
        let earliest = Instant::now().checked_sub(LATENESS_LIMIT);
        self.due = earliest.map_or(self.due, |earliest| self.due.max(earliest));
        self.due += self.core().service_time(millis);
        actix_rt::time::sleep_until(self.due).await;
        Some(self.token_line(control.reply_twice).await)
    }

    async fn token_line(&mut self, twice: bool) -> Vec<u8> {
        let sent = self.core().ledger().count_token(self.position);
        let limit = self.core().control().die_after_tokens;
        if limit.is_some_and(|limit| sent > limit) {
            actix_rt::time::sleep(FLUSH_TIME).await;
            crash();
        }
        let text = self.rule.token_text(self.next_index);
        self.digest.update(text.as_bytes());
        let event = StreamEvent::Token {
            index: self.next_index,
            text,
        };
        self.next_index += 1;
        event.to_line().repeat(if twice { 2 } else { 1 })
    }

    fn end_line(&mut self) -> Vec<u8> {
        self.core().ledger().apply(&self.call);
        if self.core().control().die_after_work {
            crash();
        }
        self.end(CallOutcome::Done);
        let event = StreamEvent::End {
            tokens: self.tokens,
            length: self.digest.length(),
            digest: self.digest.hex(),
        };
        event.to_line()
    }

    fn end(&mut self, outcome: CallOutcome) {
        self.phase = StreamPhase::Ended;
        self.slot = None;
        self.core().ledger().end(self.position, outcome);
    }

    fn core(&self) -> &TargetCore {
        &self.engine.core
    }
}

impl Drop for EngineStream {
    fn drop(&mut self) {
        if !matches!(self.phase, StreamPhase::Ended) {
            self.end(CallOutcome::Cancelled);
        }
    }
}
