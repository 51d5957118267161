use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Label of requests by their outcome.
pub type OutcomeLabel = [(&'static str, String); 2];

/// Counters and latencies of one process.
pub struct RelayMetrics {
    /// Requests by route and outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Time from arrival to the first byte of a good answer, in seconds.
    pub first_byte: Histogram,
    /// Time from arrival to the end of a good answer, in seconds.
    pub whole_answer: Histogram,
    /// Calls that make pieces.
    pub piece_calls: Counter,
    /// Pieces in them.
    pub pieces: Counter,
    /// Calls of pieces that failed whole.
    pub piece_calls_failed: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Requests sent again.
    pub repeats: Counter,
    /// Connections made to targets and the store.
    pub dials: Gauge,
    /// Version of the configuration in force.
    pub plan_version: Gauge,
    registry: Registry,
}

impl RelayMetrics {
    /// Counters at zero.
    pub fn new() -> Self {
        let latencies = || Histogram::new(exponential_buckets(0.004, 1.7, 16));
        let mut registry = Registry::with_prefix("camphor");
        let metrics = Self {
            requests: Family::default(),
            first_byte: latencies(),
            whole_answer: latencies(),
            piece_calls: Counter::default(),
            pieces: Counter::default(),
            piece_calls_failed: Counter::default(),
            store_calls: Counter::default(),
            repeats: Counter::default(),
            dials: Gauge::default(),
            plan_version: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests", metrics.requests.clone());
        registry.register(
            "first_byte_seconds",
            "First byte",
            metrics.first_byte.clone(),
        );
        registry.register(
            "whole_seconds",
            "Whole answer",
            metrics.whole_answer.clone(),
        );
        registry.register(
            "piece_calls",
            "Calls for pieces",
            metrics.piece_calls.clone(),
        );
        registry.register("pieces", "Pieces asked for", metrics.pieces.clone());
        let failed = metrics.piece_calls_failed.clone();
        registry.register("piece_calls_failed", "Failed calls for pieces", failed);
        registry.register(
            "store_calls",
            "Calls to the store",
            metrics.store_calls.clone(),
        );
        registry.register("repeats", "Requests sent again", metrics.repeats.clone());
        registry.register("dials", "Connections made", metrics.dials.clone());
        registry.register(
            "plan_version",
            "Configuration",
            metrics.plan_version.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// All values as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}

impl Default for RelayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
