//! Event timeline: hybrid logical clocks, timestamped events, a bounded event buffer for each
//! process and the causal merge of several processes' events.

mod clock_ahead_error;
mod event_filter;
mod event_kind;
mod event_merge;
mod event_ring;
mod hybrid_clock;
mod hybrid_time;
mod skew_clock;
mod timeline_event;

pub use {
    clock_ahead_error::ClockAheadError, event_filter::EventFilter, event_kind::EventKind,
    event_merge::merge_events, event_ring::EventRing, hybrid_clock::HybridClock,
    hybrid_time::HybridTime, skew_clock::SkewClock, timeline_event::TimelineEvent,
};
