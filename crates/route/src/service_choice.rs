use {
    crate::{PrefixKey, ServicePick, ServicePool, ServiceQuery, service_target::ServiceTarget},
    base::StableHash,
    rand::Rng,
    std::{
        collections::BTreeSet,
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

/// Cost of a target for each request that waits for a slot there.
const QUEUED_REQUEST_COST: Duration = Duration::from_millis(60);

/// Another target from which the cached part of a prompt can be fetched.
#[derive(Clone, Copy)]
struct FetchSource<'a> {
    target: &'a ServiceTarget,
    /// Shared tokens of the prompt that the source has not cached either.
    missing_tokens: u32,
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

/// The choice of a target for a request.
impl ServicePool {
    /// Chooses the target with the lowest cost for a request; `None` if all targets are leaving,
    /// excluded, or want no calls for a while.
    pub fn pick(
        &self,
        query: ServiceQuery<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<ServicePick> {
        let prefix_owner = self.prefix_owner(query.prefixes);
        let owner_source = prefix_owner.filter(|(_, owner)| !owner.is_backing_off(now));
        let owner_source = owner_source.map(|(_, target)| FetchSource {
            target,
            missing_tokens: 0,
        });
        let usable = self.targets.iter().filter(|(id, target)| {
            target.accepts_calls(now)
                && query.versions.accepts(target.version.as_deref())
                && !query.tried.contains(id)
                && query.among.is_none_or(|among| among.contains(*id))
        });
        let typical_time = self.typical_call_time();
        let costs = usable.map(|(id, target)| {
            let work = match (query.among, prefix_owner) {
                (Some(among), _) => {
                    let source = self.cached_source((id, target), among, query.prefixes, now);
                    self.work_elsewhere(target, source, query.prefixes, now)
                }
                (None, Some((owner_id, _))) if owner_id == id => {
                    work_at_owner(target, query.prefixes, now)
                }
                (None, _) => self.work_elsewhere(target, owner_source, query.prefixes, now),
            };
            let cost = self.cost(target, &work, query, typical_time, now);
            let jitter = MAX_TIE_JITTER.mul_f64(random.random::<f64>());
            (cost + jitter, id, target, work)
        });
        let (_, id, target, work) = costs.min_by_key(|(cost, ..)| *cost)?;
        let queued_tokens = target.queued_tokens().saturating_add(work.read_tokens);
        Some(ServicePick {
            target: id.clone(),
            data_centre: target.data_centre.clone(),
            address: target.address,
            version: target.version.clone(),
            unread_tokens: work.read_tokens,
            queued_tokens: work.fetch_from.map_or(queued_tokens, |_| 0),
            fetch_from: work.fetch_from,
        })
    }

    /// Returns the time until the first target ends the pause that it asked for; zero if there is
    /// one that takes calls now, and `None` if all targets are leaving.
    pub fn time_to_usable(&self, now: Instant) -> Option<Duration> {
        let staying = self.targets.values().filter(|target| !target.leaving);
        let pauses = staying.map(|target| target.pause_left(now));
        pauses.min()
    }

    /// Returns the shortest time in which any target could answer a request now; `None` if all
    /// targets are leaving or want no calls for a while.
    pub fn min_answer_time(&self, prefixes: &[(PrefixKey, u32)], now: Instant) -> Option<Duration> {
        let typical_time = self.typical_call_time();
        let usable = self.targets.values();
        let usable = usable.filter(|target| target.accepts_calls(now));
        let times = usable.map(
            |target| match prefixes.is_empty() && self.engine.is_none() {
                true => target.call_completion_time(typical_time),
                false => target.prompt_read_time(target.cache.unread_tokens(prefixes, now)),
            },
        );
        times.min()
    }

    /// Returns the target among those that this entry places all prompts at, other than `reader` but
    /// of its version, which has cached the most of the prompt's shared part.
    fn cached_source(
        &self,
        reader: (&String, &ServiceTarget),
        among: &BTreeSet<String>,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) -> Option<FetchSource<'_>> {
        let others = among.iter().filter(|other| *other != reader.0);
        let others = others.filter_map(|other| self.targets.get(other));
        let others = others.filter(|other| other.shares_version(reader.1));
        let sources = others.filter(|target| !target.is_backing_off(now));
        let sources = sources.map(|target| {
            let unread_tokens = target.cache.unread_tokens(prefixes, now);
            FetchSource {
                target,
                missing_tokens: unread_tokens - unshared_tokens(prefixes, unread_tokens),
            }
        });
        sources.min_by_key(|source| source.missing_tokens)
    }

    /// Returns the work for a prompt at a target that does not own its prefix. The shared prefix is
    /// fetched from the source if that costs less than reading it. The fetched tokens still count as
    /// read in the cost, since the source may have evicted them and the fetch takes time. Nothing is
    /// fetched from another version, whose memory may be laid out differently.
    fn work_elsewhere(
        &self,
        target: &ServiceTarget,
        source: Option<FetchSource<'_>>,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) -> PromptWork {
        let unread_tokens = target.cache.unread_tokens(prefixes, now);
        let shared_tokens = unread_tokens - unshared_tokens(prefixes, unread_tokens);
        let source = source.filter(|source| source.target.shares_version(target));
        let missing_tokens = source.map_or(0, |source| source.missing_tokens);
        let fetched_tokens = shared_tokens.saturating_sub(missing_tokens);
        let fetch_from = source.and_then(|source| {
            let token_time = self.engine?.fetch_time?;
            let is_remote = source.target.data_centre != target.data_centre;
            let distance_factor = if is_remote {
                CROSS_CENTRE_FETCH_FACTOR
            } else {
                1
            };
            let fetch_time = FETCH_SETUP_TIME + token_time * fetched_tokens * distance_factor;
            let read_cost = target
                .reading_time(fetched_tokens)
                .mul_f64(READING_COST_FACTOR);
            let is_worth_it = fetched_tokens >= MIN_FETCH_TOKENS && fetch_time < read_cost;
            is_worth_it.then_some(source.target.address)
        });
        let read_tokens = fetch_from.map_or(unread_tokens, |_| unread_tokens - fetched_tokens);
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
        typical_time: Duration,
        now: Instant,
    ) -> Duration {
        let work_time = match self.engine {
            Some(_) => {
                let running = target.own_work.running + target.peer_work.running;
                let read_time = target.prompt_read_time(work.cost_tokens);
                let extra_cost = target.reading_time(work.cost_tokens);
                let extra_cost = extra_cost.mul_f64(READING_COST_FACTOR - 1.0);
                let queued = running.saturating_sub(target.slots);
                let running_cost = RUNNING_REQUEST_COST * running + QUEUED_REQUEST_COST * queued;
                read_time + extra_cost + running_cost
            }
            None => target.call_completion_time(typical_time),
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
fn owner_score(key: PrefixKey, id: &str) -> u64 {
    StableHash::new().with_number(key).with_text(id).finish()
}
