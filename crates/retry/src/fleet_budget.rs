use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Slices of the window.
const WINDOW_SLICES: u32 = 10;
/// Part of what the fleet may repeat that is used at all.
const USED_SHARE: f64 = 0.7;

/// What all entries of a fleet may repeat together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBudgetSettings {
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats in a window beyond that, of the whole fleet.
    pub extra_repeats: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct WindowSlice {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// This entry's part of the fleet's repeats, for each service.
///
/// A process that has just started may have spent its part before, so that it has none of the
/// extra until a window has passed.
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
/// assert!(budget.take_repeat("pool", 2, later));
/// ```
#[derive(Debug)]
pub struct FleetBudget {
    settings: FleetBudgetSettings,
    started: Instant,
    services: HashMap<String, VecDeque<WindowSlice>>,
}

impl FleetBudget {
    /// Budget of a process that starts now.
    pub fn new(settings: FleetBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            started: now,
            services: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &str, now: Instant) {
        self.slice(service, now).requests += 1;
    }

    /// Takes one repeat if this entry's part allows it, among so many live entries.
    pub fn take_repeat(&mut self, service: &str, entries: usize, now: Instant) -> bool {
        let repeat_ratio = self.settings.repeat_ratio;
        let extra_repeats = self.extra_repeats(entries, now);
        self.slice(service, now);
        let slices = &self.services[service];
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = slices.iter().map(|slice| slice.repeats).sum();
        let allowed = USED_SHARE * (repeat_ratio * f64::from(requests) + extra_repeats);
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.slice(service, now).repeats += 1;
        true
    }

    fn extra_repeats(&self, entries: usize, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        match age < self.settings.window {
            true => 0.0,
            false => self.settings.extra_repeats / entries.max(1) as f64,
        }
    }

    fn slice(&mut self, service: &str, now: Instant) -> &mut WindowSlice {
        let window = self.settings.window;
        let length = window / WINDOW_SLICES;
        let slices = self.services.entry(service.to_string()).or_default();
        let old = |slice: &WindowSlice| now.saturating_duration_since(slice.began) >= window;
        while slices.front().is_some_and(old) {
            slices.pop_front();
        }
        let current = slices.back();
        let fresh =
            current.is_none_or(|slice| now.saturating_duration_since(slice.began) >= length);
        if fresh {
            slices.push_back(WindowSlice {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
