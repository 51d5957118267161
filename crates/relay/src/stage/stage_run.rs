use {
    crate::{caller::RelayDraft, shared::RelayCore, stage::pool_wait},
    futures_util::{StreamExt, stream::FuturesUnordered},
    piece::{PieceInput, PieceOutcome, StageGraph, StageJob, StageResult},
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Results that take more than this part of a target's room are made as late as possible.
const LARGE_PART: u64 = 40;
/// Bytes that are worth a choice of the data centre.
const FAR_BYTES: u64 = 100_000;
/// Shortest sleep before the stages are looked at again.
const LEAST_SLEEP: Duration = Duration::from_millis(5);

/// The stages of one request; their results are freed when it is dropped.
pub struct StageRun {
    core: Rc<RelayCore>,
    graph: StageGraph,
    services: Vec<String>,
    held: Vec<(u16, Vec<StageResult>)>,
}

impl StageRun {
    /// Stages of a request, none of which has begun.
    pub fn new(core: &Rc<RelayCore>, draft: &RelayDraft) -> Self {
        let rules = &draft.rule.stages;
        let stages = rules.iter().enumerate().map(|(stage, rule)| {
            let pieces = draft.head.pieces.get(stage).copied().unwrap_or(0);
            (pieces, rule.after.clone())
        });
        Self {
            core: Rc::clone(core),
            graph: StageGraph::new(stages),
            services: rules.iter().map(|rule| rule.service.clone()).collect(),
            held: Vec::new(),
        }
    }

    /// Runs the stages that are not done.
    ///
    /// # Errors
    ///
    /// Says how a piece ended that could not be made.
    pub async fn run(&mut self, draft: &RelayDraft) -> Result<(), PieceOutcome> {
        let core = Rc::clone(&self.core);
        let mut open = FuturesUnordered::new();
        let (reads, mut read) = mpsc::unbounded_channel();
        loop {
            for stage in self.start_ready(draft) {
                let order = self.order(stage, draft);
                let (core, pool) = (&core, self.services[usize::from(stage)].clone());
                let reads = reads.clone();
                let on_read = Rc::new(move || {
                    // The run may have ended in the meantime.
                    let _ = reads.send(stage);
                });
                open.push(async move {
                    let end = core.gather.gather(core, &pool, order, on_read).await;
                    (stage, end)
                });
            }
            if self.graph.is_done() {
                return Ok(());
            }
            let ended = tokio::select! {
                ended = open.next(), if !open.is_empty() => ended,
                Some(stage) = read.recv() => {
                    self.graph.record_inputs_read(stage);
                    self.free_read();
                    continue;
                }
                () = self.next_start(draft) => continue,
            };
            let Some((stage, end)) = ended else {
                continue;
            };
            let results = end?;
            self.held.push((stage, results.clone()));
            self.graph.finish_stage(stage, results);
            self.free_read();
        }
    }

    fn start_ready(&mut self, draft: &RelayDraft) -> Vec<u16> {
        let now = Instant::now();
        let times = self.stage_times(draft, now);
        let time = |stage: u16| times[usize::from(stage)];
        let large: Vec<bool> = (0..)
            .map_while(|stage| self.is_large(stage, draft))
            .collect();
        let may_wait = |stage: u16| large[usize::from(stage)];
        self.graph.start_ready(now, &time, &may_wait)
    }

    /// Returns when a stage that was held back should start; never if there is none.
    async fn next_start(&self, draft: &RelayDraft) {
        let now = Instant::now();
        let times = self.stage_times(draft, now);
        let time = |stage: u16| times[usize::from(stage)];
        match self.graph.time_to_next_start(now, &time) {
            Some(delay) => actix_rt::time::sleep(delay.max(LEAST_SLEEP)).await,
            None => std::future::pending().await,
        }
    }

    /// Time of each stage with the wait at its pool.
    fn stage_times(&self, draft: &RelayDraft, now: Instant) -> Vec<Duration> {
        let stages = (0..).zip(&self.services);
        let times = stages.map(|(stage, service)| {
            let wait = pool_wait(&self.core, service, now).timely;
            wait + self.call_time(stage, draft)
        });
        times.collect()
    }

    /// Time of one call with the pieces of a stage.
    fn call_time(&self, stage: u16, draft: &RelayDraft) -> Duration {
        let service = &self.services[usize::from(stage)];
        let spec = draft.plan.services.get(service);
        let pieces = u32::from(self.graph.piece_count(stage));
        spec.and_then(|spec| spec.pieces)
            .map_or(Duration::ZERO, |spec| {
                let items = pieces.min(u32::try_from(spec.batch).unwrap_or(u32::MAX));
                spec.call_time + spec.item_time * items
            })
    }

    /// True if the results of a stage take much of a target's room; none past the last stage.
    fn is_large(&self, stage: u16, draft: &RelayDraft) -> Option<bool> {
        let rule = draft.rule.stages.get(usize::from(stage))?;
        let spec = draft.plan.services.get(&rule.service);
        let room = spec
            .and_then(|spec| spec.pieces)
            .map_or(0, |spec| spec.result_memory_bytes);
        let bytes = rule.result_bytes * u64::from(self.graph.piece_count(stage));
        Some(bytes > room / LARGE_PART)
    }

    /// What the request is given.
    pub fn results(&self) -> Vec<StageResult> {
        self.graph.final_results()
    }

    /// Frees all results.
    pub fn release(&mut self) {
        for (stage, results) in std::mem::take(&mut self.held) {
            self.free(stage, results);
        }
    }

    /// Frees results that every stage which needs them has read.
    fn free_read(&mut self) {
        let graph = &self.graph;
        let (held, read) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(stage, _)| !graph.are_results_read(*stage));
        self.held = held;
        let read: Vec<_> = read;
        for (stage, results) in read {
            self.free(stage, results);
        }
    }

    fn free(&self, stage: u16, results: Vec<StageResult>) {
        let pool = &self.services[usize::from(stage)];
        self.core.gather.free(&self.core, pool, results);
    }

    /// Data centre to which a stage belongs: where its inputs lie, or where its results are
    /// needed; none if both are small.
    fn wanted_centre(&self, stage: u16, draft: &RelayDraft) -> Option<String> {
        let rule = &draft.rule.stages[usize::from(stage)];
        let inputs = self.graph.inputs(stage);
        let needed = rule.after.iter().map(|before| {
            let bytes = draft.rule.stages[usize::from(*before)].result_bytes;
            bytes * u64::from(self.graph.piece_count(*before))
        });
        if needed.sum::<u64>() >= FAR_BYTES {
            return self.centre_of(&inputs);
        }
        let results = rule.result_bytes * u64::from(self.graph.piece_count(stage));
        match results >= FAR_BYTES && self.graph.is_final_stage(stage) {
            true => draft.data_centre.clone(),
            false => None,
        }
    }

    /// Data centre in which most of the results lie.
    fn centre_of(&self, results: &[StageResult]) -> Option<String> {
        let state = self.core.state.borrow();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for result in results {
            if let Some(row) = state.targets.get(&result.maker) {
                *counts.entry(&row.data_centre).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(centre, _)| centre.to_string())
    }

    /// Bytes of the final results by the data centre in which they lie.
    pub fn result_bytes(&self, draft: &RelayDraft) -> BTreeMap<String, u64> {
        let state = self.core.state.borrow();
        let mut bytes: BTreeMap<String, u64> = BTreeMap::new();
        for (stage, rule) in (0..).zip(&draft.rule.stages) {
            if !self.graph.is_final_stage(stage) {
                continue;
            }
            for result in self.graph.stage_results(stage) {
                if let Some(row) = state.targets.get(&result.maker) {
                    *bytes.entry(row.data_centre.clone()).or_default() += rule.result_bytes;
                }
            }
        }
        bytes
    }

    /// Time that the request needs after a stage, given the time of each stage.
    fn time_after(
        &self,
        stage: u16,
        draft: &RelayDraft,
        stage_time: &impl Fn(u16) -> Duration,
    ) -> Duration {
        let now = Instant::now();
        let pools = self.core.pools.borrow();
        let model = pools.get(&draft.service);
        let last = model.and_then(|pool| pool.min_answer_time(&draft.chain, now));
        self.graph.time_after(stage, stage_time) + last.unwrap_or_default()
    }

    fn order(&self, stage: u16, draft: &RelayDraft) -> StageJob {
        let now = Instant::now();
        let times = self.stage_times(draft, now);
        let expected = self.time_after(stage, draft, &|stage| times[usize::from(stage)]);
        let least = self.time_after(stage, draft, &|stage| self.call_time(stage, draft));
        let inputs = self.graph.inputs(stage);
        let key = draft.head.piece_key.clone().unwrap_or_default();
        let input = match self.graph.has_inputs(stage) {
            true => PieceInput::Results(inputs.into_iter().map(|input| input.name).collect()),
            false => PieceInput::Key(key),
        };
        StageJob {
            request: draft.head.request.clone(),
            stage,
            pieces: self.graph.piece_count(stage),
            input,
            result_bytes: draft.rule.stages[usize::from(stage)].result_bytes,
            aim_left: draft.aim_at.saturating_duration_since(now + expected),
            time_left: draft.first_due.saturating_duration_since(now + least),
            data_centre: self.wanted_centre(stage, draft),
        }
    }
}

impl Drop for StageRun {
    fn drop(&mut self) {
        self.release();
    }
}
