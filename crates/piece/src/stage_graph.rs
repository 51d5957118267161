use {
    crate::StageResult,
    std::time::{Duration, Instant},
};

/// How much earlier than needed a stage that may wait is started.
const START_MARGIN: Duration = Duration::from_millis(120);

/// Where a stage of one request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StageState {
    /// It waits for the stages before it.
    Waiting,
    /// Its pieces are being made.
    Running {
        /// Since when.
        since: Instant,
    },
    /// Its results, one for each piece.
    Done(Vec<StageResult>),
}

/// The stages of one request: which can start, and what the request is given in the end.
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
    dependencies: Vec<Vec<u16>>,
    states: Vec<StageState>,
    inputs_read: Vec<bool>,
}

impl StageGraph {
    /// Graph of stages, each with its number of pieces and the stages that it needs. A stage
    /// without pieces is left out.
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

    /// Stages that should start now; they count as running from here on.
    ///
    /// A stage that `may_wait` and is not on the longest path starts only when the others need
    /// about as long as it does, so that its results do not take room while nobody can use them.
    pub fn start_ready(
        &mut self,
        now: Instant,
        time: &impl Fn(u16) -> Duration,
        may_wait: &impl Fn(u16) -> bool,
    ) -> Vec<u16> {
        let ready = self.ready_stages();
        let starting = ready
            .into_iter()
            .filter(|stage| !may_wait(*stage) || self.time_to_start(*stage, now, time).is_zero());
        let starting: Vec<u16> = starting.collect();
        for stage in &starting {
            self.states[usize::from(*stage)] = StageState::Running { since: now };
        }
        starting
    }

    /// Time until a stage that waits should start, if there is one.
    pub fn time_to_next_start(
        &self,
        now: Instant,
        time: &impl Fn(u16) -> Duration,
    ) -> Option<Duration> {
        let ready = self.ready_stages().into_iter();
        ready
            .map(|stage| self.time_to_start(stage, now, time))
            .min()
    }

    /// Records that a stage has fetched the results that it needs.
    pub fn record_inputs_read(&mut self, stage: u16) {
        self.inputs_read[usize::from(stage)] = true;
    }

    /// Records the results of a stage.
    pub fn finish_stage(&mut self, stage: u16, results: Vec<StageResult>) {
        if let Some(state) = self.states.get_mut(usize::from(stage)) {
            *state = StageState::Done(results);
        }
    }

    /// Pieces of a stage.
    pub fn piece_count(&self, stage: u16) -> u16 {
        self.piece_counts[usize::from(stage)]
    }

    /// True if the stage needs results of others.
    pub fn has_inputs(&self, stage: u16) -> bool {
        !self.dependencies[usize::from(stage)].is_empty()
    }

    /// Results that a stage needs.
    pub fn inputs(&self, stage: u16) -> Vec<StageResult> {
        let before = &self.dependencies[usize::from(stage)];
        before
            .iter()
            .flat_map(|stage| self.stage_results(*stage))
            .collect()
    }

    /// Longest time that stages after this one take, given the time of each.
    ///
    /// ```
    /// # use {piece::StageGraph, std::time::Duration};
    /// let graph = StageGraph::new([(1, vec![]), (2, vec![0]), (0, vec![1])]);
    /// let time = |_| Duration::from_millis(10);
    /// assert_eq!(graph.time_after(0, &time), Duration::from_millis(10));
    /// ```
    pub fn time_after(&self, stage: u16, time: &impl Fn(u16) -> Duration) -> Duration {
        let following = (0..)
            .zip(&self.dependencies)
            .filter(|(_, after)| after.contains(&stage));
        let paths = following.map(|(next, _)| {
            let own = match self.piece_count(next) {
                0 => Duration::ZERO,
                _ => time(next),
            };
            own + self.time_after(next, time)
        });
        paths.max().unwrap_or_default()
    }

    /// True if every stage is done.
    pub fn is_done(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, StageState::Done(_)))
    }

    /// Results of the stages that no other stage follows.
    pub fn final_results(&self) -> Vec<StageResult> {
        let last = (0..)
            .zip(&self.states)
            .filter(|(stage, _)| self.is_final_stage(*stage));
        last.flat_map(|(stage, _)| self.stage_results(stage))
            .collect()
    }

    /// Results of one stage so far.
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

    /// True if some stage needs the results of this one and all that do have fetched them.
    pub fn are_results_read(&self, stage: u16) -> bool {
        let needing = (0..)
            .zip(&self.dependencies)
            .filter(|(_, after)| after.contains(&stage));
        let read: Vec<bool> = needing
            .map(|(other, _)| self.has_read_inputs(other))
            .collect();
        !read.is_empty() && read.into_iter().all(|read| read)
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

    /// Time until a stage should start to be done together with the others.
    fn time_to_start(&self, stage: u16, now: Instant, time: &impl Fn(u16) -> Duration) -> Duration {
        let own = time(stage) + self.time_after(stage, time) + START_MARGIN;
        let others = (0..).zip(&self.states).filter(|(other, _)| *other != stage);
        let left = others.map(|(other, state)| match state {
            StageState::Done(_) => Duration::ZERO,
            StageState::Waiting => time(other) + self.time_after(other, time),
            StageState::Running { since } => {
                let spent = now.saturating_duration_since(*since);
                time(other).saturating_sub(spent) + self.time_after(other, time)
            }
        });
        left.max().unwrap_or_default().saturating_sub(own)
    }

    fn is_ready(&self, stage: u16) -> bool {
        let mut before = self.dependencies[usize::from(stage)].iter();
        before.all(|stage| {
            let state = self.states.get(usize::from(*stage));
            matches!(state, Some(StageState::Done(_)))
        })
    }
}
