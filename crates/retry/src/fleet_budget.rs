use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Number of slices into which the window is divided; requests and repeats expire slice by slice.
const WINDOW_SLICES: u32 = 10;
/// Share of the allowed repeats that is actually granted.
const USED_SHARE: f64 = 0.7;

/// Number of repeats that all entries of a fleet may make together, for each service. A repeat is a
/// request that is sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudgetSettings {
    /// Number of repeats allowed for each request in the window.
    pub repeat_ratio: f64,
    /// Number of further repeats that the whole fleet may make in a window.
    pub extra_repeats: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one slice of the window.
#[derive(Debug, Clone, Copy)]
struct WindowSlice {
    started_at: Instant,
    requests: u32,
    repeats: u32,
}

/// Limits the repeats of this entry to its share of the fleet's budget, for each service.
///
/// A process that has just started gets none of the extra repeats until a window has passed, since
/// the process before it may have spent them.
///
/// ```
/// use {
///     retry::{FleetBudget, FleetBudgetSettings},
///     std::time::{Duration, Instant},
/// };
///
/// let window = Duration::from_secs(10);
/// let settings = FleetBudgetSettings { repeat_ratio: 0.2, extra_repeats: 20.0, window };
/// let now = Instant::now();
/// let mut budget = FleetBudget::new(settings, now);
/// assert!(!budget.take_repeat("pool", 2, now));
/// let later = now + Duration::from_secs(11);
/// assert!(budget.has_repeat("pool", 2, later));
/// assert!(budget.take_repeat("pool", 2, later));
/// ```
#[derive(Debug)]
pub struct FleetBudget {
    settings: FleetBudgetSettings,
    started_at: Instant,
    /// Slices of the window by service, oldest first.
    services: HashMap<String, VecDeque<WindowSlice>>,
}

impl FleetBudget {
    /// Creates the budget of a process that starts now.
    pub fn new(settings: FleetBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            started_at: now,
            services: HashMap::new(),
        }
    }

    /// Counts a request that is sent to the service.
    pub fn on_request(&mut self, service: &str, now: Instant) {
        self.current_slice(service, now).requests += 1;
    }

    /// Counts one repeat and returns true if this entry's share of the service's budget allows it.
    /// `entry_count` is the number of live entries that share the extra repeats.
    pub fn take_repeat(&mut self, service: &str, entry_count: usize, now: Instant) -> bool {
        let is_allowed = self.has_repeat(service, entry_count, now);
        if is_allowed {
            self.current_slice(service, now).repeats += 1;
        }
        is_allowed
    }

    /// Returns true if [`Self::take_repeat`] would allow a repeat now, without counting one.
    pub fn has_repeat(&self, service: &str, entry_count: usize, now: Instant) -> bool {
        let slices = self.services.get(service).into_iter().flatten();
        let current = slices.filter(|slice| !self.is_expired(slice, now));
        let counts = current.map(|slice| (slice.requests, slice.repeats));
        let (requests, repeats) =
            counts.fold((0, 0), |sum, slice| (sum.0 + slice.0, sum.1 + slice.1));
        let extra_repeats = self.extra_repeats(entry_count, now);
        let granted = self.settings.repeat_ratio * f64::from(requests) + extra_repeats;
        f64::from(repeats + 1) <= USED_SHARE * granted
    }

    fn is_expired(&self, slice: &WindowSlice, now: Instant) -> bool {
        now.saturating_duration_since(slice.started_at) >= self.settings.window
    }

    /// Returns this entry's share of the extra repeats.
    fn extra_repeats(&self, entry_count: usize, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        match age < self.settings.window {
            true => 0.0,
            false => self.settings.extra_repeats / entry_count.max(1) as f64,
        }
    }

    /// Drops slices older than the window and returns the slice that is being filled.
    fn current_slice(&mut self, service: &str, now: Instant) -> &mut WindowSlice {
        let window = self.settings.window;
        let slice_length = window / WINDOW_SLICES;
        let slices = self.services.entry(service.to_string()).or_default();
        let is_expired =
            |slice: &WindowSlice| now.saturating_duration_since(slice.started_at) >= window;
        while slices.front().is_some_and(is_expired) {
            slices.pop_front();
        }
        let current = slices.back();
        let needs_new = current
            .is_none_or(|slice| now.saturating_duration_since(slice.started_at) >= slice_length);
        if needs_new {
            slices.push_back(WindowSlice {
                started_at: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
