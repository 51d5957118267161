use {
    crate::{
        PickQuery, PoolSettings, TargetStanding, entry_ranking::weighted_score,
        target_record::TargetRecord,
    },
    base::{CentreId, mix_bits},
    rand::Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Share of the calls that go to the first target drawn regardless of its cost, so that a target
/// that was slow is measured again.
const EXPLORE_SHARE: f64 = 0.01;
/// Maximum number of targets that the copies of one request are spread over, so that a request that
/// crashes its targets takes down no more than two.
const MAX_COPY_TARGETS: usize = 2;

/// A target that may be chosen, by its index in the records, with its weight in the random choice.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    weight: f64,
}

/// Inputs for choosing one target of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetChoice<'a> {
    pub settings: &'a PoolSettings,
    pub records: &'a [TargetRecord],
    pub centre_costs: &'a BTreeMap<CentreId, Duration>,
    /// Median service time of the pool.
    pub service_seconds: f64,
    pub query: PickQuery<'a>,
    pub now: Instant,
}

impl TargetChoice<'_> {
    /// Returns the index of the target that the call should go to; `None` if all targets are
    /// leaving or were tried.
    pub fn pick(&self, generator: &mut impl Rng) -> Option<usize> {
        let candidates = self.candidates();
        if candidates.is_empty() {
            return self.last_resort();
        }
        let drawn = match self.query.request_hash {
            Some(hash) => self.draw_by_hash(&candidates, hash),
            None => self.draw(&candidates, generator),
        };
        if generator.random::<f64>() < EXPLORE_SHARE {
            return drawn.first().copied();
        }
        let best = drawn
            .into_iter()
            .min_by(|left, right| self.cost(*left).total_cmp(&self.cost(*right)))?;
        // A copy that is retried stays within the targets of the other copies, so the prefix owner
        // is not considered.
        let is_retried_copy = self.query.request_hash.is_some() && !self.query.tried.is_empty();
        let Some(prefix_hash) = self.query.prefix_hash.filter(|_| !is_retried_copy) else {
            return Some(best);
        };
        let owner = self.prefix_owner(&candidates, prefix_hash)?;
        let call_seconds = match self.query.expected_seconds > 0.0 {
            true => self.query.expected_seconds,
            false => self.service_seconds,
        };
        let saved_seconds = self.settings.prefix_saving * call_seconds;
        match self.cost(owner) - saved_seconds <= self.cost(best) {
            true => Some(owner),
            false => Some(best),
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let slow_start = self.settings.slow_start;
        let untried = (0..self.records.len()).filter(|&index| self.is_untried(index));
        untried
            .map(|index| Candidate {
                index,
                weight: self.records[index].draw_weight(slow_start, self.now),
            })
            .filter(|candidate| candidate.weight > 0.0)
            .collect()
    }

    /// Returns the untried target that is usable soonest, for the case that no target has a draw
    /// weight: a returning target with the fewest calls in flight, or else the target whose
    /// ejection ends first.
    fn last_resort(&self) -> Option<usize> {
        let usable_at = |record: &TargetRecord| match record.standing {
            TargetStanding::Ejected(until) => until,
            TargetStanding::Usable | TargetStanding::SlowStart(_) => self.now,
        };
        (0..self.records.len())
            .filter(|&index| self.is_untried(index))
            .min_by_key(|&index| {
                (
                    usable_at(&self.records[index]),
                    self.records[index].in_flight,
                )
            })
    }

    /// True if the request has not tried the target and the target is not leaving.
    fn is_untried(&self, index: usize) -> bool {
        let record = &self.records[index];
        !record.is_leaving(self.now) && !self.query.tried.contains(&record.spec.target)
    }

    /// Draws distinct targets at random by weight.
    fn draw(&self, candidates: &[Candidate], generator: &mut impl Rng) -> Vec<usize> {
        let mut remaining = candidates.to_vec();
        let choices = self.settings.choices.clamp(1, remaining.len().max(1));
        let mut drawn = Vec::with_capacity(choices);
        while drawn.len() < choices && !remaining.is_empty() {
            let total: f64 = remaining.iter().map(|candidate| candidate.weight).sum();
            let mut point = generator.random::<f64>() * total;
            let drawn_position = remaining.iter().position(|candidate| {
                point -= candidate.weight;
                point < 0.0
            });
            let candidate = remaining.swap_remove(drawn_position.unwrap_or(remaining.len() - 1));
            drawn.push(candidate.index);
        }
        drawn
    }

    /// Draws targets by weight from the hash. Every entry draws the same targets for the same hash;
    /// those that the request has tried are removed afterwards. Over many hashes each target is
    /// drawn as often as by the random choice.
    fn draw_by_hash(&self, candidates: &[Candidate], hash: u64) -> Vec<usize> {
        let including_tried = TargetChoice {
            query: PickQuery {
                tried: &[],
                ..self.query
            },
            ..*self
        };
        let score = |candidate: &Candidate| {
            let record = &self.records[candidate.index];
            weighted_score(mix_bits(record.hash ^ mix_bits(hash)), candidate.weight)
        };
        let mut ranked = including_tried.candidates();
        ranked.sort_by(|left, right| score(right).total_cmp(&score(left)));
        let is_candidate = |index: &usize| candidates.iter().any(|other| other.index == *index);
        let indices = || ranked.iter().map(|candidate| candidate.index);
        let choices = self.settings.choices.clamp(1, MAX_COPY_TARGETS);
        let drawn: Vec<usize> = indices().take(choices).filter(is_candidate).collect();
        match drawn.is_empty() {
            true => indices().find(is_candidate).into_iter().collect(),
            false => drawn,
        }
    }

    /// Returns the expected time in seconds until a call would be answered, network time included.
    fn cost(&self, index: usize) -> f64 {
        let record = &self.records[index];
        let answer_seconds =
            record.answer_seconds(record.service_seconds(self.service_seconds), self.now);
        if record.spec.data_centre == self.query.local_centre {
            return answer_seconds;
        }
        let network_cost = self.centre_costs.get(&record.spec.data_centre);
        answer_seconds
            + network_cost
                .unwrap_or(&self.settings.centre_cost)
                .as_secs_f64()
    }

    /// Returns the target that should have the prefix cached: the same one on every entry that sees
    /// the same targets as usable.
    fn prefix_owner(&self, candidates: &[Candidate], prefix_hash: u64) -> Option<usize> {
        let score = |index: usize| {
            let record = &self.records[index];
            weighted_score(
                mix_bits(record.hash ^ mix_bits(prefix_hash)),
                record.capacity(),
            )
        };
        candidates
            .iter()
            .map(|candidate| candidate.index)
            .max_by(|left, right| score(*left).total_cmp(&score(*right)))
    }
}
