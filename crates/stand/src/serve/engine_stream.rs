use {
    super::{
        batch_slots::SlotGuard,
        engine::Engine,
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

/// Delay of a crash, so that the tokens sent before it leave the process.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Longest lateness that later tokens make up for; any more shifts the times of all of them.
const MAX_LATENESS: Duration = Duration::from_millis(20);

/// What a stream sends next.
enum StreamPhase {
    Begin,
    Tokens,
    Ended,
}

/// One streamed answer of an engine; if it is dropped early, its call is recorded as cancelled.
pub struct EngineStream {
    engine: Rc<Engine>,
    call: TargetCall,
    /// Position of the call's record in the ledger.
    position: usize,
    rule: EchoRule,
    phase: StreamPhase,
    slot: Option<SlotGuard>,
    /// Digest of the answer up to the next token, including the tokens before the resumption.
    digest: AnswerDigest,
    next_index: u64,
    token_count: u64,
    /// When the last token was due; the next one is timed from it, so that late timers do not add
    /// up.
    due: Instant,
}

impl EngineStream {
    /// Creates the answer to an admitted call; `position` is that of its record in the ledger.
    pub fn new(engine: Rc<Engine>, call: TargetCall, position: usize) -> Self {
        let identity = &call.identity;
        let rule = EchoRule::new(&identity.customer, &identity.request, &call.input);
        let token_count = rule.token_count();
        let resume_at = call.resume_at.min(token_count);
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
            token_count,
            due: Instant::now(),
        }
    }

    /// Returns the lines of the answer, each one event as JSON.
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
                self.wait_for_start().await;
                self.next_token().await
            }
            StreamPhase::Ended => None,
        }
    }

    /// Waits for a slot and, unless the prompt's prefix is cached, for the prefill; returns at once
    /// if the stream has a slot.
    async fn wait_for_start(&mut self) {
        if self.slot.is_some() {
            return;
        }
        self.slot = self.engine.slots.acquire(self.call.priority).await;
        if !self.engine.cache.borrow_mut().touch(&self.call.input) {
            let millis = self.core().control().prefill_ms;
            actix_rt::time::sleep(self.core().service_time(millis)).await;
        }
        self.due = Instant::now();
    }

    /// Waits until the next token is due and returns its line, or the end line after the last one.
    /// Returns `None` if the answer is cut here.
    async fn next_token(&mut self) -> Option<Vec<u8>> {
        let control = self.core().control().clone();
        if control.cut_answer && self.next_index >= self.token_count / 2 {
            self.end(CallOutcome::Failed);
            return None;
        }
        if self.next_index >= self.token_count {
            return Some(self.end_line());
        }
        let other_streams = self.engine.slots.running().saturating_sub(1);
        let millis = control.token_ms * (1.0 + control.batch_cost * other_streams as f64);
        let earliest = Instant::now().checked_sub(MAX_LATENESS);
        self.due = earliest.map_or(self.due, |earliest| self.due.max(earliest));
        self.due += self.core().service_time(millis);
        actix_rt::time::sleep_until(self.due).await;
        Some(self.token_line(control.reply_twice).await)
    }

    async fn token_line(&mut self, is_doubled: bool) -> Vec<u8> {
        let sent = self.core().ledger().count_token(self.position);
        let token_limit = self.core().control().die_after_tokens;
        if token_limit.is_some_and(|limit| sent > limit) {
            actix_rt::time::sleep(FLUSH_DELAY).await;
            crash();
        }
        let text = self.rule.token_text(self.next_index);
        self.digest.update(text.as_bytes());
        let event = StreamEvent::Token {
            index: self.next_index,
            text,
        };
        self.next_index += 1;
        event.to_line().repeat(if is_doubled { 2 } else { 1 })
    }

    fn end_line(&mut self) -> Vec<u8> {
        self.core().ledger().apply_posting(&self.call);
        if self.core().control().die_after_work {
            crash();
        }
        self.end(CallOutcome::Done);
        let event = StreamEvent::End {
            tokens: self.token_count,
            length: self.digest.length(),
            digest: self.digest.hex(),
        };
        event.to_line()
    }

    /// Frees the slot and records how the call ended.
    fn end(&mut self, outcome: CallOutcome) {
        self.phase = StreamPhase::Ended;
        self.slot = None;
        self.core().ledger().record_end(self.position, outcome);
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
