use {
    crate::{ledger::RequestLedger, shared::client_metrics::ClientMetrics, tasks::TaskLabel},
    prometheus_client::{
        encoding::text::encode,
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
};

/// Labels of the request counter: `outcome` and `reason`.
pub type OutcomeLabel = [(&'static str, String); 2];

/// Metrics of the process, in the Prometheus format.
pub struct RelayMetrics {
    /// Answered and refused requests by outcome and reason.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Time from the arrival of a request to the first events of its streamed answer, in seconds.
    pub first_byte: Histogram,
    /// Time from the arrival of a request to the end of its answer, in seconds.
    pub whole_answer: Histogram,
    /// Calls to targets that make pieces.
    pub piece_calls: Counter,
    /// Pieces that those calls asked for.
    pub pieces: Counter,
    /// Calls for pieces that failed or got no usable answer.
    pub piece_calls_failed: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Requests that were sent again to another target.
    pub repeats: Counter,
    /// Answers in which a target said that it is leaving or wants no calls for a while.
    pub target_notices: Counter,
    /// Crashes of targets that were blamed on parts of prompts, at this entry.
    pub part_crashes: Counter,
    /// Parts of prompts that have become suspect.
    pub suspect_parts: Counter,
    /// Requests that were sent to try suspect parts.
    pub part_trials: Counter,
    /// Answers in which a target named a new limit, or none any more.
    pub target_limits: Counter,
    /// Calls to limited targets that were turned away and went elsewhere or were refused.
    pub limited_calls: Counter,
    /// Calls to cold targets that were turned away and went elsewhere or were refused.
    pub cold_calls_denied: Counter,
    /// Answers with a figure of the target's machine that is of no use.
    pub unusable_paces: Counter,
    /// Number of data centres to whose targets nothing more may be sent.
    pub evacuated_centres: Gauge,
    /// Requests for the rest of a stream.
    pub resumptions: Counter,
    /// Those that were refused, since the version that began the stream is not known or not there.
    pub resumptions_refused: Counter,
    /// Calls to targets that check whether this entry reaches any.
    pub link_checks: Counter,
    /// Calls to targets that check which process answers there.
    pub process_checks: Counter,
    /// Times that the links to all targets were lost.
    pub link_losses: Counter,
    /// Requests that were handed over to another entry, since this one has no links to targets.
    pub hops: Counter,
    /// Requests that were taken over from another entry.
    pub taken_hops: Counter,
    /// Connections opened to targets and the store, failed attempts included.
    pub dials: Gauge,
    /// Version of the configuration in force.
    pub plan_version: Gauge,
    /// Requests whose answer has not been written whole.
    pub open_requests: Gauge,
    /// Requests that were refused, since there was no room for their bodies.
    pub uploads_refused: Counter,
    /// Bytes of the bodies of requests that are held.
    pub upload_bytes: Gauge,
    /// Bytes of the answers that are held and not streamed.
    pub answer_bytes: Gauge,
    /// Connections of clients.
    pub clients: ClientMetrics,
    /// Failures of tasks that serve all requests.
    pub task_failures: Family<TaskLabel, Counter>,
    registry: Registry,
}

impl RelayMetrics {
    /// Creates the metrics, all zero, with those of the ledger.
    pub fn new(ledger: &RequestLedger) -> Self {
        // The buckets reach from 4 ms to 11 s.
        let latency_histogram = || Histogram::new(exponential_buckets(0.004, 1.7, 16));
        let mut registry = Registry::with_prefix("camphor");
        let metrics = Self {
            requests: Family::default(),
            first_byte: latency_histogram(),
            whole_answer: latency_histogram(),
            piece_calls: Counter::default(),
            pieces: Counter::default(),
            piece_calls_failed: Counter::default(),
            store_calls: Counter::default(),
            repeats: Counter::default(),
            target_notices: Counter::default(),
            part_crashes: Counter::default(),
            suspect_parts: Counter::default(),
            part_trials: Counter::default(),
            target_limits: Counter::default(),
            limited_calls: Counter::default(),
            cold_calls_denied: Counter::default(),
            unusable_paces: Counter::default(),
            evacuated_centres: Gauge::default(),
            resumptions: Counter::default(),
            resumptions_refused: Counter::default(),
            link_checks: Counter::default(),
            process_checks: Counter::default(),
            link_losses: Counter::default(),
            hops: Counter::default(),
            taken_hops: Counter::default(),
            dials: Gauge::default(),
            plan_version: Gauge::default(),
            open_requests: Gauge::default(),
            uploads_refused: Counter::default(),
            upload_bytes: Gauge::default(),
            answer_bytes: Gauge::default(),
            clients: ClientMetrics::default(),
            task_failures: Family::default(),
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
        let counters = [
            ("piece_calls", "Calls for pieces", &metrics.piece_calls),
            ("pieces", "Pieces asked for", &metrics.pieces),
            (
                "piece_calls_failed",
                "Failed calls for pieces",
                &metrics.piece_calls_failed,
            ),
            ("store_calls", "Calls to the store", &metrics.store_calls),
            ("repeats", "Requests sent again", &metrics.repeats),
            (
                "target_notices",
                "Notices of targets: leaving, or no calls for a while",
                &metrics.target_notices,
            ),
            (
                "part_crashes",
                "Crashes blamed on parts of prompts",
                &metrics.part_crashes,
            ),
            (
                "suspect_parts",
                "Parts of prompts that became suspect",
                &metrics.suspect_parts,
            ),
            (
                "part_trials",
                "Requests sent to try suspect parts",
                &metrics.part_trials,
            ),
            (
                "target_limits",
                "Limits of targets that are new, changed or ended",
                &metrics.target_limits,
            ),
            (
                "limited_calls",
                "Calls turned away by a target's limit",
                &metrics.limited_calls,
            ),
            (
                "cold_calls_denied",
                "Calls turned away by a target's being cold",
                &metrics.cold_calls_denied,
            ),
            (
                "unusable_paces",
                "Unusable figures of the machines of targets",
                &metrics.unusable_paces,
            ),
            (
                "resumptions",
                "Requests of callers for the rest of a stream",
                &metrics.resumptions,
            ),
            (
                "resumptions_refused",
                "Those refused for the version that began the stream",
                &metrics.resumptions_refused,
            ),
            (
                "link_checks",
                "Calls to check the links to targets",
                &metrics.link_checks,
            ),
            (
                "process_checks",
                "Calls to check which process answers for a target",
                &metrics.process_checks,
            ),
            (
                "link_losses",
                "Times that the links to all targets were lost",
                &metrics.link_losses,
            ),
            (
                "hops",
                "Requests handed over to other entries",
                &metrics.hops,
            ),
            (
                "uploads_refused",
                "Requests refused for the room of their bodies",
                &metrics.uploads_refused,
            ),
            (
                "taken_hops",
                "Requests taken over from other entries",
                &metrics.taken_hops,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register("read_requests", "Requests read whole", ledger.read.clone());
        registry.register(
            "request_ends",
            "Ends of requests read whole",
            ledger.ends.clone(),
        );
        registry.register(
            "unread_requests",
            "Requests that ended before they were read whole",
            ledger.unread.clone(),
        );
        registry.register(
            "upload_bytes",
            "Bytes of bodies of requests",
            metrics.upload_bytes.clone(),
        );
        registry.register(
            "answer_bytes",
            "Bytes of answers that are not streamed",
            metrics.answer_bytes.clone(),
        );
        registry.register(
            "task_failures",
            "Failures of tasks that serve all requests",
            metrics.task_failures.clone(),
        );
        registry.register(
            "open_requests",
            "Requests without a whole answer",
            metrics.open_requests.clone(),
        );
        registry.register(
            "evacuated_centres",
            "Evacuated data centres",
            metrics.evacuated_centres.clone(),
        );
        metrics.clients.register(&mut registry);
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

    /// Returns all metrics in the Prometheus text format.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}
