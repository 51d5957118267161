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

/// The results of a stage are large if they take up more than a target's memory for results divided
/// by this number. Large results are made as late as possible.
const LARGE_RESULT_DIVISOR: u64 = 40;
/// A stage prefers the data centre where its inputs are stored, or where its results are needed, if
/// their size in bytes is at least this.
const MIN_LOCALITY_BYTES: u64 = 100_000;
/// Minimum sleep before the check whether a delayed stage should start.
const MIN_SLEEP: Duration = Duration::from_millis(5);

/// The stages of one request; their results are freed when it is dropped.
pub struct StageRun {
    core: Rc<RelayCore>,
    graph: StageGraph,
    /// Service of each stage.
    services: Vec<String>,
    /// Results that were not freed yet, by stage.
    held_results: Vec<(u16, Vec<StageResult>)>,
}

impl StageRun {
    /// Creates the run of a request's stages, none of which has started.
    pub fn new(core: &Rc<RelayCore>, draft: &RelayDraft) -> Self {
        let rules = &draft.rule.stages;
        let stages = rules.iter().enumerate().map(|(stage, rule)| {
            let piece_count = draft.head.piece_counts.get(stage).copied().unwrap_or(0);
            (piece_count, rule.after.clone())
        });
        Self {
            core: Rc::clone(core),
            graph: StageGraph::new(stages),
            services: rules.iter().map(|rule| rule.service.clone()).collect(),
            held_results: Vec::new(),
        }
    }

    /// Runs the stages that are not done.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a piece that could not be made.
    pub async fn run(&mut self, draft: &RelayDraft) -> Result<(), PieceOutcome> {
        let core = Rc::clone(&self.core);
        let mut running = FuturesUnordered::new();
        let (inputs_read_sender, mut inputs_read) = mpsc::unbounded_channel();
        loop {
            for stage in self.start_ready(draft) {
                let job = self.stage_job(stage, draft);
                let rank = draft.job_rank(&core.urgencies.borrow());
                let (core, pool) = (&core, self.services[usize::from(stage)].clone());
                let sender = inputs_read_sender.clone();
                let on_inputs_read = Rc::new(move || {
                    // The run may have ended in the meantime.
                    let _ = sender.send(stage);
                });
                running.push(async move {
                    let outcome = core
                        .batch_service
                        .run_job(core, &pool, job, rank, on_inputs_read)
                        .await;
                    (stage, outcome)
                });
            }
            if self.graph.is_done() {
                return Ok(());
            }
            let ended = tokio::select! {
                ended = running.next(), if !running.is_empty() => ended,
                Some(stage) = inputs_read.recv() => {
                    self.graph.record_inputs_read(stage);
                    self.free_read_results();
                    continue;
                }
                () = self.next_start(draft) => continue,
            };
            let Some((stage, outcome)) = ended else {
                continue;
            };
            let results = outcome?;
            self.held_results.push((stage, results.clone()));
            self.graph.finish_stage(stage, results);
            self.free_read_results();
        }
    }

    /// Returns the stages that should start now and marks them as running.
    fn start_ready(&mut self, draft: &RelayDraft) -> Vec<u16> {
        let now = Instant::now();
        let stage_times = self.stage_times(draft, now);
        let stage_time = |stage: u16| stage_times[usize::from(stage)];
        let are_large: Vec<bool> = (0..)
            .map_while(|stage| self.has_large_results(stage, draft))
            .collect();
        let may_delay = |stage: u16| are_large[usize::from(stage)];
        self.graph.start_ready(now, &stage_time, &may_delay)
    }

    /// Waits until a stage that was delayed should start; forever if there is none.
    async fn next_start(&self, draft: &RelayDraft) {
        let now = Instant::now();
        let stage_times = self.stage_times(draft, now);
        let stage_time = |stage: u16| stage_times[usize::from(stage)];
        match self.graph.time_to_next_start(now, &stage_time) {
            Some(delay) => actix_rt::time::sleep(delay.max(MIN_SLEEP)).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the expected time of each stage, including the wait at its pool.
    fn stage_times(&self, draft: &RelayDraft, now: Instant) -> Vec<Duration> {
        let urgency = draft.urgency(&self.core.urgencies.borrow());
        let stages = (0..).zip(&self.services);
        let times = stages.map(|(stage, service)| {
            let wait = pool_wait(&self.core, service, urgency, now).timely;
            wait + self.call_time(stage, draft)
        });
        times.collect()
    }

    /// Returns the time of one call with as many pieces of a stage as fit into a batch.
    fn call_time(&self, stage: u16, draft: &RelayDraft) -> Duration {
        let service = &self.services[usize::from(stage)];
        let spec = draft.plan.services.get(service);
        let piece_count = u32::from(self.graph.piece_count(stage));
        spec.and_then(|spec| spec.pieces)
            .map_or(Duration::ZERO, |spec| {
                let batch_size = piece_count.min(u32::try_from(spec.batch).unwrap_or(u32::MAX));
                spec.call_time + spec.item_time * batch_size
            })
    }

    /// Returns true if the results of a stage take up much of a target's memory for results; `None`
    /// past the last stage.
    fn has_large_results(&self, stage: u16, draft: &RelayDraft) -> Option<bool> {
        let rule = draft.rule.stages.get(usize::from(stage))?;
        let spec = draft.plan.services.get(&rule.service);
        let memory_bytes = spec
            .and_then(|spec| spec.pieces)
            .map_or(0, |spec| spec.result_memory_bytes);
        let bytes = rule.result_bytes * u64::from(self.graph.piece_count(stage));
        Some(bytes > memory_bytes / LARGE_RESULT_DIVISOR)
    }

    /// Returns the results that are passed to the target that runs the request.
    pub fn results(&self) -> Vec<StageResult> {
        self.graph.final_results()
    }

    /// Frees all results that are still held.
    pub fn free_all(&mut self) {
        for (stage, results) in std::mem::take(&mut self.held_results) {
            self.free_results(stage, results);
        }
    }

    /// Frees the results that all stages which need them have read.
    fn free_read_results(&mut self) {
        let graph = &self.graph;
        let (held_results, read_results) = std::mem::take(&mut self.held_results)
            .into_iter()
            .partition(|(stage, _)| !graph.are_results_read(*stage));
        self.held_results = held_results;
        let read_results: Vec<_> = read_results;
        for (stage, results) in read_results {
            self.free_results(stage, results);
        }
    }

    fn free_results(&self, stage: u16, results: Vec<StageResult>) {
        let pool = &self.services[usize::from(stage)];
        self.core
            .batch_service
            .free_results(&self.core, pool, results);
    }

    /// Returns the data centre in which a stage should run: the one where most of its inputs are
    /// stored if they are large, otherwise the one of the request if that needs the stage's results
    /// and they are large. `None` if any data centre will do.
    fn preferred_centre(&self, stage: u16, draft: &RelayDraft) -> Option<String> {
        let rule = &draft.rule.stages[usize::from(stage)];
        let inputs = self.graph.inputs(stage);
        let input_bytes = rule.after.iter().map(|input_stage| {
            let bytes = draft.rule.stages[usize::from(*input_stage)].result_bytes;
            bytes * u64::from(self.graph.piece_count(*input_stage))
        });
        if input_bytes.sum::<u64>() >= MIN_LOCALITY_BYTES {
            return self.main_centre(&inputs);
        }
        let result_bytes = rule.result_bytes * u64::from(self.graph.piece_count(stage));
        match result_bytes >= MIN_LOCALITY_BYTES && self.graph.is_final_stage(stage) {
            true => draft.data_centre.clone(),
            false => None,
        }
    }

    /// Returns the data centre in which most of the results are stored; `None` if none of the
    /// targets that made them is known.
    fn main_centre(&self, results: &[StageResult]) -> Option<String> {
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

    /// Returns the size of the final results in bytes, by the data centre in which they are stored.
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

    /// Returns the time that the request needs from the end of a stage to its answer, given the
    /// time of each stage.
    fn time_after(
        &self,
        stage: u16,
        draft: &RelayDraft,
        stage_time: &impl Fn(u16) -> Duration,
    ) -> Duration {
        let now = Instant::now();
        let pools = self.core.pools.borrow();
        let service_pool = pools.get(&draft.service);
        let answer_time = service_pool.and_then(|pool| pool.min_answer_time(&draft.prefixes, now));
        self.graph.time_after(stage, stage_time) + answer_time.unwrap_or_default()
    }

    /// Returns the job that makes the pieces of a stage.
    fn stage_job(&self, stage: u16, draft: &RelayDraft) -> StageJob {
        let now = Instant::now();
        let stage_times = self.stage_times(draft, now);
        let expected_after =
            self.time_after(stage, draft, &|stage| stage_times[usize::from(stage)]);
        let min_after = self.time_after(stage, draft, &|stage| self.call_time(stage, draft));
        let inputs = self.graph.inputs(stage);
        let key = draft.head.piece_key.clone().unwrap_or_default();
        let input = match self.graph.has_inputs(stage) {
            true => PieceInput::Results(inputs.into_iter().map(|input| input.name).collect()),
            false => PieceInput::Key(key),
        };
        StageJob {
            request: draft.head.request_id.clone(),
            stage,
            pieces: self.graph.piece_count(stage),
            input,
            result_bytes: draft.rule.stages[usize::from(stage)].result_bytes,
            aim_left: draft
                .goal_at
                .saturating_duration_since(now + expected_after),
            time_left: draft
                .first_event_deadline
                .saturating_duration_since(now + min_after),
            data_centre: self.preferred_centre(stage, draft),
        }
    }
}

impl Drop for StageRun {
    fn drop(&mut self) {
        self.free_all();
    }
}
