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

/// Cost of a way to another data centre.
const CENTRE_COST: Duration = Duration::from_millis(6);
/// Cost of each megabyte of inputs that come from another data centre.
const FAR_MEGABYTE_COST: Duration = Duration::from_millis(10);
/// Cost of each request that an engine runs already.
const RUNNING_COST: Duration = Duration::from_micros(700);
/// How much dearer a target gets with the share of its calls that fail.
const FAILURE_COST: f64 = 12.0;
/// Least cost that failures multiply.
const FAILURE_FLOOR: Duration = Duration::from_millis(30);
/// Cost of a target that is left alone; it is used only if all are.
const REST_COST: Duration = Duration::from_secs(30);
/// Part of the prompt that counts as unread at the engine where others send the same prompt.
const HOME_UNREAD: f64 = 0.15;
/// Weight of reading against waiting: what is read again takes an engine's time from others.
const READING_WEIGHT: f64 = 2.5;
/// Shared tokens below which fetching them is not worth its set-up.
const LEAST_FETCH: u32 = 500;
/// Time of a fetch beside the tokens themselves.
const FETCH_SETUP: Duration = Duration::from_millis(6);
/// How much longer a fetch from another data centre takes.
const FAR_FETCH: u32 = 2;
/// Spread of random costs that parts targets which are alike.
const TIE_SPREAD: Duration = Duration::from_millis(2);
/// Part of an engine's memory that cached parts are taken to fill.
const CACHE_SHARE: f64 = 0.7;

/// How a call to a target ended, as far as the choice of further targets goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// It answered well.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It said that it does not run the request.
    Refused,
    /// It was lost, or could not be reached.
    Lost,
    /// The call was given up here; that says nothing of the target.
    Cancelled,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuery<'a> {
    /// Chains of its prompt, empty if it has none.
    pub prefixes: &'a [(PrefixKey, u32)],
    /// Targets that it must not go to.
    pub tried: &'a [String],
    /// Data centre of this entry.
    pub data_centre: &'a str,
    /// Bytes of its inputs by the data centre in which they lie.
    pub inputs: &'a BTreeMap<String, u64>,
}

/// The chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePick {
    /// Its id.
    pub target: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Prompt tokens that it is expected to read.
    pub unread_tokens: u32,
    /// Tokens that it reads until then, those of others included; 0 if its time to the first event
    /// says nothing of its speed.
    pub queued_tokens: u32,
    /// Target from which it should first fetch parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
}

/// What one target would have to do for a prompt.
struct PromptWork {
    /// Tokens to read.
    read: u32,
    /// Tokens that count as read where targets are compared.
    counted: u32,
    /// Target that it fetches parts from.
    fetch: Option<SocketAddr>,
}

/// Targets of one service that take whole requests.
///
/// A request goes where it should be done first: prompts that wait, prompts that are cached, the
/// speed that was measured, the way, and failures all count as time. Prompts with the same
/// beginning have the same home on every entry, so that parts are read once and not everywhere.
#[derive(Debug)]
pub struct ServicePool {
    engine: Option<EngineSpec>,
    targets: BTreeMap<String, ServiceTarget>,
}

impl ServicePool {
    /// Pool without targets.
    pub fn new() -> Self {
        Self {
            engine: None,
            targets: BTreeMap::new(),
        }
    }

    /// Takes over the targets that the platform lists.
    pub fn set_targets<'a>(
        &mut self,
        spec: &ServiceSpec,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
    ) {
        self.engine = spec.engine;
        let mut before = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let mut target = before.remove(id).unwrap_or_else(|| ServiceTarget::new(row));
            target.renew(row);
            self.targets.insert(id.clone(), target);
        }
    }

    /// Takes over the work that other entries have at the targets, by the hash of their ids.
    pub fn set_peer_work(&mut self, work: &HashMap<u64, TargetWork>) {
        for (id, target) in &mut self.targets {
            target.peers = work.get(&id_hash(id)).copied().unwrap_or_default();
        }
    }

    /// This entry's own work at the targets.
    pub fn own_work(&self) -> impl Iterator<Item = (u64, TargetWork)> {
        let busy = self
            .targets
            .iter()
            .filter(|(_, target)| target.own.running > 0);
        busy.map(|(id, target)| (id_hash(id), target.own))
    }

    /// True if some target may be used.
    pub fn is_usable(&self) -> bool {
        self.targets.values().any(|target| !target.leaving)
    }

    /// True if the target is listed and takes new work.
    pub fn takes_work(&self, target: &str) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| !target.leaving)
    }

    /// Best target for a request, unless there is none left.
    pub fn pick(
        &self,
        query: ServiceQuery<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<ServicePick> {
        let home = self.home(query.prefixes);
        let source = home.filter(|(_, home)| !home.rests(now));
        let usable = self
            .targets
            .iter()
            .filter(|(id, target)| !target.leaving && !query.tried.contains(id));
        let costs = usable.map(|(id, target)| {
            let work = match home {
                Some((home, _)) if home == id => work_at_home(target, query.prefixes, now),
                _ => self.work_elsewhere(target, source.map(|(_, home)| home), query.prefixes, now),
            };
            let cost = self.cost(target, &work, query, now);
            let tie = TIE_SPREAD.mul_f64(random.random::<f64>());
            (cost + tie, id, target, work)
        });
        let (_, id, target, work) = costs.min_by_key(|(cost, ..)| *cost)?;
        let queued_tokens = target.own.unread_tokens + target.peers.unread_tokens + work.read;
        Some(ServicePick {
            target: id.clone(),
            data_centre: target.data_centre.clone(),
            address: target.address,
            unread_tokens: work.read,
            queued_tokens: work.fetch.map_or(queued_tokens, |_| 0),
            fetch_from: work.fetch,
        })
    }

    /// Least time in which a request could be answered now, if there is a target.
    pub fn min_answer_time(&self, prefixes: &[(PrefixKey, u32)], now: Instant) -> Option<Duration> {
        let usable = self.targets.values().filter(|target| !target.leaving);
        let times = usable.map(
            |target| match prefixes.is_empty() && self.engine.is_none() {
                true => target.plain_time(),
                false => target.read_time(target.cache.unread_tokens(prefixes, now)),
            },
        );
        times.min()
    }

    /// Records that a request was sent.
    pub fn record_start(
        &mut self,
        pick: &ServicePick,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) {
        let capacity = self.engine.map_or(0, |engine| engine.cache_tokens);
        let capacity = (capacity as f64 * CACHE_SHARE) as u64;
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own.running += 1;
            target.own.unread_tokens += pick.unread_tokens;
            target.cache.read(prefixes, capacity, now);
        }
    }

    /// Records the first event of an answer: the prompt has been read.
    pub fn record_first_event(&mut self, pick: &ServicePick, spent: Duration) {
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own.unread_tokens = target.own.unread_tokens.saturating_sub(pick.unread_tokens);
            target.observe_reading(pick.queued_tokens, spent);
        }
    }

    /// Records the end of a request that was begun; `read` if its first event had come.
    pub fn record_end(
        &mut self,
        pick: &ServicePick,
        end: ServiceOutcome,
        read: bool,
        spent: Duration,
        now: Instant,
    ) {
        let engine = self.engine.is_some();
        let Some(target) = self.targets.get_mut(&pick.target) else {
            return;
        };
        target.own.running = target.own.running.saturating_sub(1);
        if !read {
            target.own.unread_tokens = target.own.unread_tokens.saturating_sub(pick.unread_tokens);
        }
        match end {
            ServiceOutcome::Answered => {
                target.observe_success();
                if !engine {
                    target.observe_call(spent);
                }
            }
            ServiceOutcome::Failed => target.observe_failure(),
            ServiceOutcome::Refused => target.observe_refusal(now),
            ServiceOutcome::Lost => target.observe_loss(now),
            ServiceOutcome::Cancelled => {}
        }
    }

    /// Work for a prompt at a target that is not its home. Shared parts are fetched from there
    /// where that costs less than reading them again; they count as read in the choice, since the
    /// home may have lost them and a fetch takes time on the way.
    fn work_elsewhere(
        &self,
        target: &ServiceTarget,
        home: Option<&ServiceTarget>,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) -> PromptWork {
        let unread_tokens = target.cache.unread_tokens(prefixes, now);
        let shared = unread_tokens - own_tokens(prefixes, unread_tokens);
        let fetch = home.and_then(|home| {
            let each = self.engine?.fetch_time?;
            let far = home.data_centre != target.data_centre;
            let ways = if far { FAR_FETCH } else { 1 };
            let time = FETCH_SETUP + each * shared * ways;
            let reading = target.reading_alone(shared).mul_f64(READING_WEIGHT);
            (shared >= LEAST_FETCH && time < reading).then_some(home.address)
        });
        let read = fetch.map_or(unread_tokens, |_| unread_tokens - shared);
        PromptWork {
            read,
            counted: unread_tokens,
            fetch,
        }
    }

    fn cost(
        &self,
        target: &ServiceTarget,
        prompt: &PromptWork,
        query: ServiceQuery<'_>,
        now: Instant,
    ) -> Duration {
        let work = match self.engine {
            Some(_) => {
                let running = target.own.running + target.peers.running;
                let reading = target.read_time(prompt.counted);
                let extra = target.reading_alone(prompt.counted);
                let extra = extra.mul_f64(READING_WEIGHT - 1.0);
                reading + extra + RUNNING_COST * running
            }
            None => target.plain_time(),
        };
        let way = match target.data_centre == query.data_centre {
            true => Duration::ZERO,
            false => CENTRE_COST,
        };
        let far = query
            .inputs
            .iter()
            .filter(|(centre, _)| **centre != target.data_centre);
        let far: u64 = far.map(|(_, bytes)| bytes).sum();
        let way = way + FAR_MEGABYTE_COST.mul_f64(far as f64 / 1e6);
        let rest = match target.rests(now) {
            true => REST_COST,
            false => Duration::ZERO,
        };
        let failing = work
            .max(FAILURE_FLOOR)
            .mul_f64(FAILURE_COST * target.failures);
        work + way + rest + failing
    }

    /// Engine to which all entries send prompts that share all but their own part.
    fn home(&self, prefixes: &[(PrefixKey, u32)]) -> Option<(&String, &ServiceTarget)> {
        let (_, shared) = prefixes.split_last()?;
        let (key, _) = shared.last()?;
        let usable = self.targets.iter().filter(|(_, target)| !target.leaving);
        usable.max_by_key(|(id, _)| (rank(*key, id), *id))
    }
}

impl Default for ServicePool {
    fn default() -> Self {
        Self::new()
    }
}

/// Hash of a target's id, as entries tell each other.
pub fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Work for a prompt at its home: others have most likely sent its shared parts there.
fn work_at_home(target: &ServiceTarget, prefixes: &[(PrefixKey, u32)], now: Instant) -> PromptWork {
    let unread_tokens = target.cache.unread_tokens(prefixes, now);
    let own = own_tokens(prefixes, unread_tokens);
    let shared = f64::from(unread_tokens - own) * HOME_UNREAD;
    PromptWork {
        read: unread_tokens,
        counted: own + shared as u32,
        fetch: None,
    }
}

/// Unread tokens that no other prompt shares.
fn own_tokens(prefixes: &[(PrefixKey, u32)], unread_tokens: u32) -> u32 {
    prefixes
        .last()
        .map_or(0, |(_, tokens)| *tokens)
        .min(unread_tokens)
}

/// Rank of a target for a part, the same on every entry.
fn rank(key: PrefixKey, id: &String) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
