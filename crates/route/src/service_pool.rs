use {
    crate::{
        PrefixKey,
        service_target::{ServiceTarget, TargetWork},
    },
    plan::{EngineSpec, ServiceSpec, TargetRow},
    rand::Rng,
    std::{
        collections::{BTreeMap, HashMap},
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Cost of sending a request to a target in another data centre.
const CROSS_CENTRE_COST: Duration = Duration::from_millis(6);
/// Cost of each megabyte of inputs that is fetched from another data centre.
const CROSS_CENTRE_MEGABYTE_COST: Duration = Duration::from_millis(10);
/// Cost of a target for each request that its engine is already running.
const RUNNING_REQUEST_COST: Duration = Duration::from_micros(700);
/// Extra cost of a target that fails every call, as a multiple of its work cost. With a lower
/// failure rate the extra cost is proportionally lower.
const FAILURE_COST_FACTOR: f64 = 12.0;
/// Minimum work cost that `FAILURE_COST_FACTOR` is applied to.
const MIN_FAILURE_BASE: Duration = Duration::from_millis(30);
/// Cost of a target in backoff, high enough that it is used only if all targets are in backoff.
const BACKOFF_COST: Duration = Duration::from_secs(30);
/// Share of the uncached shared tokens of a prompt that counts as unread at the owner of its
/// prefix. Other entries have most likely sent the prefix there, so the owner may have cached it
/// although this entry's estimate says otherwise.
const OWNER_UNREAD_SHARE: f64 = 0.15;
/// Cost of the time to read a prompt relative to the time spent waiting: reading takes the
/// engine's time from other requests.
const READING_COST_FACTOR: f64 = 2.5;
/// Minimum number of shared tokens for which a fetch is worth its set-up time.
const MIN_FETCH_TOKENS: u32 = 500;
/// Time that a fetch takes in addition to the transfer of the tokens.
const FETCH_SETUP_TIME: Duration = Duration::from_millis(6);
/// Factor by which the transfer takes longer from another data centre.
const CROSS_CENTRE_FETCH_FACTOR: u32 = 2;
/// Upper bound of the random cost that spreads requests over targets of equal cost.
const MAX_TIE_JITTER: Duration = Duration::from_millis(2);
/// Share of an engine's memory that is assumed to hold cached prefixes.
const CACHE_FILL_SHARE: f64 = 0.7;

/// How a call to a target ended, as far as it matters for later choices of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The target answered successfully.
    Answered,
    /// The target answered with an error.
    Failed,
    /// The target declined to run the request.
    Refused,
    /// The connection was lost during the call or could not be made.
    Lost,
    /// The entry cancelled the call; this does not count as a failure of the target.
    Cancelled,
}

/// Properties of a request that determine its target.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuery<'a> {
    /// Prefix keys of its prompt with the tokens that each adds, from [`prefix_keys`]; empty
    /// without a prompt.
    ///
    /// [`prefix_keys`]: crate::prefix_keys
    pub prefixes: &'a [(PrefixKey, u32)],
    /// Ids of the targets that have been tried and are excluded.
    pub tried: &'a [String],
    /// Data centre of this entry.
    pub data_centre: &'a str,
    /// Size of its inputs in bytes, by the data centre that stores them.
    pub inputs: &'a BTreeMap<String, u64>,
}

/// Target chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePick {
    /// Id of the target.
    pub target: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// Address to send the request to.
    pub address: SocketAddr,
    /// Prompt tokens that the target is expected to read, because it has not cached them.
    pub unread_tokens: u32,
    /// Prompt tokens that the target reads before the first event of the answer, including those
    /// of requests queued ahead; 0 if the time to the first event can't be used to measure the
    /// read rate, because it includes a fetch.
    pub queued_tokens: u32,
    /// Address of the target from which the cached prefix should be fetched first.
    pub fetch_from: Option<SocketAddr>,
}

/// Work that a prompt would cause at one target.
struct PromptWork {
    /// Prompt tokens to read.
    read_tokens: u32,
    /// Prompt tokens that count as read when the costs of targets are compared.
    cost_tokens: u32,
    /// Address of the target that the shared prefix is fetched from.
    fetch_from: Option<SocketAddr>,
}

/// Targets of one service, each of which runs requests from start to end.
///
/// A request goes to the target with the lowest cost in time, which covers queued and cached
/// prompt tokens, the measured speed, the network distance and failures. Prompts with the same
/// prefix have the same owner on every entry, so that the prefix is read by one target and not by
/// all.
#[derive(Debug)]
pub struct ServicePool {
    engine: Option<EngineSpec>,
    targets: BTreeMap<String, ServiceTarget>,
}

impl ServicePool {
    /// Creates a pool without targets.
    pub fn new() -> Self {
        Self {
            engine: None,
            targets: BTreeMap::new(),
        }
    }

    /// Replaces the targets by those that the platform lists; targets that stay keep their
    /// measurements.
    pub fn set_targets<'a>(
        &mut self,
        spec: &ServiceSpec,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
    ) {
        self.engine = spec.engine;
        let mut previous = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let mut target = previous
                .remove(id)
                .unwrap_or_else(|| ServiceTarget::new(row));
            target.update(row);
            self.targets.insert(id.clone(), target);
        }
    }

    /// Sets the work that the targets do for other entries, keyed by [`id_hash`] of the target.
    pub fn set_peer_work(&mut self, work: &HashMap<u64, TargetWork>) {
        for (id, target) in &mut self.targets {
            target.peer_work = work.get(&id_hash(id)).copied().unwrap_or_default();
        }
    }

    /// Returns the work that the targets do for this entry, without idle targets, keyed by
    /// [`id_hash`] of the target.
    pub fn own_work(&self) -> impl Iterator<Item = (u64, TargetWork)> {
        let busy = self
            .targets
            .iter()
            .filter(|(_, target)| target.own_work.running > 0);
        busy.map(|(id, target)| (id_hash(id), target.own_work))
    }

    /// True if at least one target is not leaving.
    pub fn is_usable(&self) -> bool {
        self.targets.values().any(|target| !target.leaving)
    }

    /// True if the target is listed and not leaving.
    pub fn accepts_work(&self, target: &str) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| !target.leaving)
    }

    /// Chooses the target with the lowest cost for a request; `None` if all targets are leaving
    /// or excluded.
    pub fn pick(
        &self,
        query: ServiceQuery<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<ServicePick> {
        let prefix_owner = self.prefix_owner(query.prefixes);
        let source = prefix_owner.filter(|(_, owner)| !owner.is_backing_off(now));
        let usable = self
            .targets
            .iter()
            .filter(|(id, target)| !target.leaving && !query.tried.contains(id));
        let costs = usable.map(|(id, target)| {
            let work = match prefix_owner {
                Some((owner_id, _)) if owner_id == id => work_at_owner(target, query.prefixes, now),
                _ => {
                    self.work_elsewhere(target, source.map(|(_, owner)| owner), query.prefixes, now)
                }
            };
            let cost = self.cost(target, &work, query, now);
            let jitter = MAX_TIE_JITTER.mul_f64(random.random::<f64>());
            (cost + jitter, id, target, work)
        });
        let (_, id, target, work) = costs.min_by_key(|(cost, ..)| *cost)?;
        let queued_tokens =
            target.own_work.unread_tokens + target.peer_work.unread_tokens + work.read_tokens;
        Some(ServicePick {
            target: id.clone(),
            data_centre: target.data_centre.clone(),
            address: target.address,
            unread_tokens: work.read_tokens,
            queued_tokens: work.fetch_from.map_or(queued_tokens, |_| 0),
            fetch_from: work.fetch_from,
        })
    }

    /// Returns the shortest time in which any target could answer a request now; `None` if all
    /// targets are leaving.
    pub fn min_answer_time(&self, prefixes: &[(PrefixKey, u32)], now: Instant) -> Option<Duration> {
        let usable = self.targets.values().filter(|target| !target.leaving);
        let times = usable.map(
            |target| match prefixes.is_empty() && self.engine.is_none() {
                true => target.call_completion_time(),
                false => target.prompt_read_time(target.cache.unread_tokens(prefixes, now)),
            },
        );
        times.min()
    }

    /// Records that a request was sent to the picked target.
    pub fn record_start(
        &mut self,
        pick: &ServicePick,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) {
        let cache_tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let capacity = (cache_tokens as f64 * CACHE_FILL_SHARE) as u64;
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own_work.running += 1;
            target.own_work.unread_tokens += pick.unread_tokens;
            target.cache.record_prompt(prefixes, capacity, now);
        }
    }

    /// Records the first event of an answer, which means that the prompt has been read.
    pub fn record_first_event(&mut self, pick: &ServicePick, elapsed: Duration) {
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own_work.unread_tokens = target
                .own_work
                .unread_tokens
                .saturating_sub(pick.unread_tokens);
            target.observe_reading(pick.queued_tokens, elapsed);
        }
    }

    /// Records the end of a request; `has_first_event` is true if its first event was recorded.
    pub fn record_end(
        &mut self,
        pick: &ServicePick,
        outcome: ServiceOutcome,
        has_first_event: bool,
        elapsed: Duration,
        now: Instant,
    ) {
        let has_engine = self.engine.is_some();
        let Some(target) = self.targets.get_mut(&pick.target) else {
            return;
        };
        target.own_work.running = target.own_work.running.saturating_sub(1);
        if !has_first_event {
            target.own_work.unread_tokens = target
                .own_work
                .unread_tokens
                .saturating_sub(pick.unread_tokens);
        }
        match outcome {
            ServiceOutcome::Answered => {
                target.observe_success();
                if !has_engine {
                    target.observe_call(elapsed);
                }
            }
            ServiceOutcome::Failed => target.observe_failure(),
            ServiceOutcome::Refused => target.observe_refusal(now),
            ServiceOutcome::Lost => target.observe_loss(now),
            ServiceOutcome::Cancelled => {}
        }
    }

    /// Returns the work for a prompt at a target that does not own its prefix. The shared prefix is
    /// fetched from the owner if that costs less than reading it. The fetched tokens still count as
    /// read in the cost, since the owner may have evicted them and the fetch takes time.
    fn work_elsewhere(
        &self,
        target: &ServiceTarget,
        prefix_owner: Option<&ServiceTarget>,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) -> PromptWork {
        let unread_tokens = target.cache.unread_tokens(prefixes, now);
        let shared_tokens = unread_tokens - unshared_tokens(prefixes, unread_tokens);
        let fetch_from = prefix_owner.and_then(|owner| {
            let token_time = self.engine?.fetch_time?;
            let is_remote = owner.data_centre != target.data_centre;
            let distance_factor = if is_remote {
                CROSS_CENTRE_FETCH_FACTOR
            } else {
                1
            };
            let fetch_time = FETCH_SETUP_TIME + token_time * shared_tokens * distance_factor;
            let read_cost = target
                .reading_time(shared_tokens)
                .mul_f64(READING_COST_FACTOR);
            (shared_tokens >= MIN_FETCH_TOKENS && fetch_time < read_cost).then_some(owner.address)
        });
        let read_tokens = fetch_from.map_or(unread_tokens, |_| unread_tokens - shared_tokens);
        PromptWork {
            read_tokens,
            cost_tokens: unread_tokens,
            fetch_from,
        }
    }

    /// Returns the cost in time of sending the request to the target.
    fn cost(
        &self,
        target: &ServiceTarget,
        work: &PromptWork,
        query: ServiceQuery<'_>,
        now: Instant,
    ) -> Duration {
        let work_time = match self.engine {
            Some(_) => {
                let running = target.own_work.running + target.peer_work.running;
                let read_time = target.prompt_read_time(work.cost_tokens);
                let extra_cost = target.reading_time(work.cost_tokens);
                let extra_cost = extra_cost.mul_f64(READING_COST_FACTOR - 1.0);
                read_time + extra_cost + RUNNING_REQUEST_COST * running
            }
            None => target.call_completion_time(),
        };
        let network_cost = match target.data_centre == query.data_centre {
            true => Duration::ZERO,
            false => CROSS_CENTRE_COST,
        };
        let remote_inputs = query
            .inputs
            .iter()
            .filter(|(centre, _)| **centre != target.data_centre);
        let remote_bytes: u64 = remote_inputs.map(|(_, bytes)| bytes).sum();
        let network_cost =
            network_cost + CROSS_CENTRE_MEGABYTE_COST.mul_f64(remote_bytes as f64 / 1e6);
        let backoff_cost = match target.is_backing_off(now) {
            true => BACKOFF_COST,
            false => Duration::ZERO,
        };
        let failure_cost = work_time
            .max(MIN_FAILURE_BASE)
            .mul_f64(FAILURE_COST_FACTOR * target.failure_rate);
        work_time + network_cost + backoff_cost + failure_cost
    }

    /// Returns the target to which all entries prefer to send prompts that differ only in their
    /// last part.
    fn prefix_owner(&self, prefixes: &[(PrefixKey, u32)]) -> Option<(&String, &ServiceTarget)> {
        let (_, shared) = prefixes.split_last()?;
        let (key, _) = shared.last()?;
        let usable = self.targets.iter().filter(|(_, target)| !target.leaving);
        usable.max_by_key(|(id, _)| (owner_score(*key, id), *id))
    }
}

impl Default for ServicePool {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the hash of a target's id, which entries exchange in place of the id.
pub fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Returns the work for a prompt at the owner of its prefix, where other entries have most likely
/// sent the shared prefix already.
fn work_at_owner(
    target: &ServiceTarget,
    prefixes: &[(PrefixKey, u32)],
    now: Instant,
) -> PromptWork {
    let unread_tokens = target.cache.unread_tokens(prefixes, now);
    let unshared = unshared_tokens(prefixes, unread_tokens);
    let shared_cost = f64::from(unread_tokens - unshared) * OWNER_UNREAD_SHARE;
    PromptWork {
        read_tokens: unread_tokens,
        cost_tokens: unshared + shared_cost as u32,
        fetch_from: None,
    }
}

/// Returns the unread tokens of the prompt's last part, which other prompts don't share.
fn unshared_tokens(prefixes: &[(PrefixKey, u32)], unread_tokens: u32) -> u32 {
    prefixes
        .last()
        .map_or(0, |(_, tokens)| *tokens)
        .min(unread_tokens)
}

/// Returns the rendezvous score of a target for a prefix, the same on every entry; the target with
/// the highest score owns the prefix.
fn owner_score(key: PrefixKey, id: &String) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
