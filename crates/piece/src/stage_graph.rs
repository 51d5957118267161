use {
    crate::StageResult,
    std::time::{Duration, Instant},
};

/// Safety margin by which a delayed stage starts earlier than its expected time requires.
const START_MARGIN: Duration = Duration::from_millis(120);

/// State of one stage of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageState {
    /// The stage has not started.
    Waiting,
    /// The pieces of the stage are being made.
    Running {
        /// Time at which it started.
        started_at: Instant,
    },
    /// The stage is done; one result for each piece.
    Done(Vec<StageResult>),
}

/// Dependency graph of the stages of one request, which determines when stages start and collects
/// their results.
///
/// Stages are given by their position, starting at 0.
///
/// ```
/// use {piece::{StageGraph, StageResult}, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let time = |_| Duration::from_millis(300);
/// let result = |name| StageResult { maker: String::from("t"), name: String::from(name) };
/// // One piece, then two that need its result.
/// let mut graph = StageGraph::new([(1, vec![]), (2, vec![0])]);
/// assert_eq!(graph.start_ready(now, &time, &|_| false), vec![0]);
/// graph.finish_stage(0, vec![result("h0")]);
/// assert_eq!(graph.start_ready(now, &time, &|_| false), vec![1]);
/// assert_eq!(graph.inputs(1), vec![result("h0")]);
/// graph.finish_stage(1, vec![result("h1"), result("h2")]);
/// assert!(graph.is_done());
/// assert_eq!(graph.final_results(), vec![result("h1"), result("h2")]);
/// ```
#[derive(Debug, Clone)]
pub struct StageGraph {
    piece_counts: Vec<u16>,
    /// Stages whose results each stage needs.
    dependencies: Vec<Vec<u16>>,
    states: Vec<StageState>,
    /// Whether each stage has fetched the results that it needs.
    inputs_read: Vec<bool>,
}

impl StageGraph {
    /// Creates a graph of stages, each given by its number of pieces and the stages whose results
    /// it needs. A stage without pieces is skipped: it counts as done, without results.
    pub fn new(stages: impl IntoIterator<Item = (u16, Vec<u16>)>) -> Self {
        let (piece_counts, dependencies): (Vec<_>, Vec<_>) = stages.into_iter().unzip();
        let states = piece_counts
            .iter()
            .map(|count| match count {
                0 => StageState::Done(Vec::new()),
                _ => StageState::Waiting,
            })
            .collect();
        Self {
            inputs_read: vec![false; piece_counts.len()],
            piece_counts,
            dependencies,
            states,
        }
    }

    /// Marks the stages that should start now as running and returns them.
    ///
    /// `stage_time` is the expected time of a stage. A stage that `may_delay` accepts and that is
    /// not on the critical path starts only when the other stages still need about as long as it
    /// does, so that its results take up no room while nothing can use them.
    pub fn start_ready(
        &mut self,
        now: Instant,
        stage_time: &impl Fn(u16) -> Duration,
        may_delay: &impl Fn(u16) -> bool,
    ) -> Vec<u16> {
        let ready = self.ready_stages();
        let starting = ready.into_iter().filter(|stage| {
            !may_delay(*stage) || self.time_to_start(*stage, now, stage_time).is_zero()
        });
        let starting: Vec<u16> = starting.collect();
        for stage in &starting {
            self.states[usize::from(*stage)] = StageState::Running { started_at: now };
        }
        starting
    }

    /// Returns the time until the next stage whose inputs are available should start; `None` if
    /// there is no such stage.
    pub fn time_to_next_start(
        &self,
        now: Instant,
        stage_time: &impl Fn(u16) -> Duration,
    ) -> Option<Duration> {
        let ready = self.ready_stages().into_iter();
        ready
            .map(|stage| self.time_to_start(stage, now, stage_time))
            .min()
    }

    /// Records that a stage has fetched the results that it needs.
    pub fn record_inputs_read(&mut self, stage: u16) {
        self.inputs_read[usize::from(stage)] = true;
    }

    /// Records the results of a stage and marks it as done. Ignores an unknown stage.
    pub fn finish_stage(&mut self, stage: u16, results: Vec<StageResult>) {
        if let Some(state) = self.states.get_mut(usize::from(stage)) {
            *state = StageState::Done(results);
        }
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: u16) -> u16 {
        self.piece_counts[usize::from(stage)]
    }

    /// True if the stage needs results of other stages.
    pub fn has_inputs(&self, stage: u16) -> bool {
        !self.dependencies[usize::from(stage)].is_empty()
    }

    /// Returns the results that a stage needs, as far as they are available.
    pub fn inputs(&self, stage: u16) -> Vec<StageResult> {
        let dependencies = &self.dependencies[usize::from(stage)];
        dependencies
            .iter()
            .flat_map(|stage| self.stage_results(*stage))
            .collect()
    }

    /// Returns the expected time of the longest chain of stages that depend on this one, directly
    /// or through others. `stage_time` is the expected time of a stage; one without pieces takes
    /// none.
    ///
    /// ```
    /// # use {piece::StageGraph, std::time::Duration};
    /// let graph = StageGraph::new([(1, vec![]), (2, vec![0]), (0, vec![1])]);
    /// let time = |_| Duration::from_millis(10);
    /// assert_eq!(graph.time_after(0, &time), Duration::from_millis(10));
    /// ```
    pub fn time_after(&self, stage: u16, stage_time: &impl Fn(u16) -> Duration) -> Duration {
        let times = self.times_after(stage_time);
        times.get(usize::from(stage)).copied().unwrap_or_default()
    }

    /// True if every stage is done.
    pub fn is_done(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, StageState::Done(_)))
    }

    /// Returns the results of the stages that no other stage needs. They are the inputs of the
    /// request itself.
    pub fn final_results(&self) -> Vec<StageResult> {
        let final_stages = (0..)
            .zip(&self.states)
            .filter(|(stage, _)| self.is_final_stage(*stage));
        final_stages
            .flat_map(|(stage, _)| self.stage_results(stage))
            .collect()
    }

    /// Returns the results of a stage; none if it is unknown or not done.
    pub fn stage_results(&self, stage: u16) -> Vec<StageResult> {
        match self.states.get(usize::from(stage)) {
            Some(StageState::Done(results)) => results.clone(),
            _ => Vec::new(),
        }
    }

    /// True if no other stage needs the results of this one.
    pub fn is_final_stage(&self, stage: u16) -> bool {
        !self
            .dependencies
            .iter()
            .flatten()
            .any(|needed| *needed == stage)
    }

    /// True if at least one stage needs the results of this one, and all stages that need them have
    /// fetched them.
    pub fn are_results_read(&self, stage: u16) -> bool {
        let dependents = (0..)
            .zip(&self.dependencies)
            .filter(|(_, dependencies)| dependencies.contains(&stage));
        let read: Vec<bool> = dependents
            .map(|(other, _)| self.has_read_inputs(other))
            .collect();
        !read.is_empty() && read.into_iter().all(|is_read| is_read)
    }

    /// Returns for each stage what [`Self::time_after`] returns.
    ///
    /// Each round follows the chains by one stage. No chain is longer than there are stages, unless
    /// stages need each other; those never start, and their times are not followed further.
    fn times_after(&self, stage_time: &impl Fn(u16) -> Duration) -> Vec<Duration> {
        let own_times = (0..).zip(&self.piece_counts);
        let own_times = own_times.map(|(stage, pieces)| match pieces {
            0 => Duration::ZERO,
            _ => stage_time(stage),
        });
        let own_times: Vec<Duration> = own_times.collect();
        let mut times = vec![Duration::ZERO; own_times.len()];
        for _ in 0..own_times.len() {
            let before = times.clone();
            for (next, dependencies) in self.dependencies.iter().enumerate() {
                let time = own_times[next] + before[next];
                for stage in dependencies {
                    if let Some(after) = times.get_mut(usize::from(*stage)) {
                        *after = time.max(*after);
                    }
                }
            }
            if times == before {
                break;
            }
        }
        times
    }

    fn has_read_inputs(&self, stage: usize) -> bool {
        self.inputs_read[stage] || matches!(self.states[stage], StageState::Done(_))
    }

    fn ready_stages(&self) -> Vec<u16> {
        let waiting = (0..)
            .zip(&self.states)
            .filter(|(stage, state)| **state == StageState::Waiting && self.is_ready(*stage));
        waiting.map(|(stage, _)| stage).collect()
    }

    /// Returns the time until a stage should start so that it ends together with the others.
    fn time_to_start(
        &self,
        stage: u16,
        now: Instant,
        stage_time: &impl Fn(u16) -> Duration,
    ) -> Duration {
        let times_after = self.times_after(stage_time);
        let own_time = stage_time(stage) + times_after[usize::from(stage)] + START_MARGIN;
        let others = (0..).zip(&self.states).filter(|(other, _)| *other != stage);
        let times_left = others.map(|(other, state)| {
            let time_after = times_after[usize::from(other)];
            match state {
                StageState::Done(_) => Duration::ZERO,
                StageState::Waiting => stage_time(other) + time_after,
                StageState::Running { started_at } => {
                    let elapsed = now.saturating_duration_since(*started_at);
                    stage_time(other).saturating_sub(elapsed) + time_after
                }
            }
        });
        times_left
            .max()
            .unwrap_or_default()
            .saturating_sub(own_time)
    }

    fn is_ready(&self, stage: u16) -> bool {
        let mut dependencies = self.dependencies[usize::from(stage)].iter();
        dependencies.all(|stage| {
            let state = self.states.get(usize::from(*stage));
            matches!(state, Some(StageState::Done(_)))
        })
    }
}
