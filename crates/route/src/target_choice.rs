use {
    crate::{
        PickQuery, PoolSettings, TargetStanding, entry_ranking::weighted_score,
        target_record::TargetRecord,
    },
    base::CentreId,
    rand::Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Share of the calls that go to the first target drawn whatever it costs, so that one which was
/// slow once is measured again.
const EXPLORE_SHARE: f64 = 0.01;
/// Targets that the copies of one request choose among: a request may crash no more than two.
const COPY_CHOICES: usize = 2;

/// A target that may be chosen, with its weight in the random choice.
#[derive(Debug, Clone, Copy)]
struct OpenPlace {
    place: usize,
    weight: f64,
}

/// One choice among the targets of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TargetChoice<'a> {
    pub settings: &'a PoolSettings,
    pub records: &'a [TargetRecord],
    pub centre_costs: &'a BTreeMap<CentreId, Duration>,
    pub service: f64,
    pub query: PickQuery<'a>,
    pub now: Instant,
}

impl TargetChoice<'_> {
    /// Place of the target that the call should go to.
    pub fn pick(&self, generator: &mut impl Rng) -> Option<usize> {
        let open = self.open_places();
        if open.is_empty() {
            return self.last_resort();
        }
        let drawn = match self.query.request_hash {
            Some(hash) => self.draw_alike(&open, hash),
            None => self.draw(&open, generator),
        };
        if generator.random::<f64>() < EXPLORE_SHARE {
            return drawn.first().copied();
        }
        let best = drawn
            .into_iter()
            .min_by(|left, right| self.cost(*left).total_cmp(&self.cost(*right)))?;
        // A copy that was sent on stays among the targets of its other copies.
        let sent_on = self.query.request_hash.is_some() && !self.query.tried.is_empty();
        let Some(prefix) = self.query.prefix_hash.filter(|_| !sent_on) else {
            return Some(best);
        };
        let owner = self.prefix_owner(&open, prefix)?;
        let ordinary = match self.query.expected_seconds > 0.0 {
            true => self.query.expected_seconds,
            false => self.service,
        };
        let saved = self.settings.prefix_saving * ordinary;
        match self.cost(owner) - saved <= self.cost(best) {
            true => Some(owner),
            false => Some(best),
        }
    }

    fn open_places(&self) -> Vec<OpenPlace> {
        let slow_start = self.settings.slow_start;
        let usable = (0..self.records.len()).filter(|&place| self.is_untried(place));
        usable
            .map(|place| OpenPlace {
                place,
                weight: self.records[place].open_weight(slow_start, self.now),
            })
            .filter(|open| open.weight > 0.0)
            .collect()
    }

    /// A target that would not be used if there were another: the one nearest to its return.
    fn last_resort(&self) -> Option<usize> {
        let returns = |record: &TargetRecord| match record.standing {
            TargetStanding::Ejected(until) => until,
            TargetStanding::Usable | TargetStanding::Returning(_) => self.now,
        };
        (0..self.records.len())
            .filter(|&place| self.is_untried(place))
            .min_by_key(|&place| (returns(&self.records[place]), self.records[place].in_flight))
    }

    fn is_untried(&self, place: usize) -> bool {
        let record = &self.records[place];
        !record.is_leaving(self.now) && !self.query.tried.contains(&record.spec.target)
    }

    /// Draws different places at random by weight.
    fn draw(&self, open: &[OpenPlace], generator: &mut impl Rng) -> Vec<usize> {
        let mut rest = open.to_vec();
        let choices = self.settings.choices.clamp(1, rest.len().max(1));
        let mut drawn = Vec::with_capacity(choices);
        while drawn.len() < choices && !rest.is_empty() {
            let total: f64 = rest.iter().map(|open| open.weight).sum();
            let mut point = generator.random::<f64>() * total;
            let hit = rest.iter().position(|open| {
                point -= open.weight;
                point < 0.0
            });
            let open = rest.swap_remove(hit.unwrap_or(rest.len() - 1));
            drawn.push(open.place);
        }
        drawn
    }

    /// Draws places by weight, the same ones for the same hash on every entry, those that were
    /// tried included. Over many hashes it draws as often as the random choice does.
    fn draw_alike(&self, open: &[OpenPlace], hash: u64) -> Vec<usize> {
        let untried = TargetChoice {
            query: PickQuery {
                tried: &[],
                ..self.query
            },
            ..*self
        };
        let score = |open: &OpenPlace| {
            let record = &self.records[open.place];
            weighted_score(mix(record.hash ^ mix(hash)), open.weight)
        };
        let mut ranked = untried.open_places();
        ranked.sort_by(|left, right| score(right).total_cmp(&score(left)));
        let is_open = |place: &usize| open.iter().any(|other| other.place == *place);
        let places = || ranked.iter().map(|open| open.place);
        let choices = self.settings.choices.clamp(1, COPY_CHOICES);
        let drawn: Vec<usize> = places().take(choices).filter(is_open).collect();
        match drawn.is_empty() {
            true => places().find(is_open).into_iter().collect(),
            false => drawn,
        }
    }

    /// Seconds until a call would be answered, the way to the target included.
    fn cost(&self, place: usize) -> f64 {
        let record = &self.records[place];
        let wait = record.wait(record.service(self.service), self.now);
        if record.spec.data_centre == self.query.local_centre {
            return wait;
        }
        let way = self.centre_costs.get(&record.spec.data_centre);
        wait + way.unwrap_or(&self.settings.centre_cost).as_secs_f64()
    }

    /// Target whose cache should hold the prefix: the same one for every entry that sees the
    /// same targets as usable.
    fn prefix_owner(&self, open: &[OpenPlace], prefix: u64) -> Option<usize> {
        let score = |place: usize| {
            let record = &self.records[place];
            weighted_score(mix(record.hash ^ mix(prefix)), record.capacity())
        };
        open.iter()
            .map(|open| open.place)
            .max_by(|left, right| score(*left).total_cmp(&score(*right)))
    }
}

/// Spreads the bits of a hash (the finaliser of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
