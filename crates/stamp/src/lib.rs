//! The time line: hybrid logical clocks, events, a bounded ring of them and one merged order.

mod clock_refusal;
mod event_filter;
mod event_kind;
mod event_merge;
mod event_ring;
mod hybrid_clock;
mod hybrid_time;
mod skew_clock;
mod timeline_event;

pub use {
    clock_refusal::ClockRefusal, event_filter::EventFilter, event_kind::EventKind,
    event_merge::merge_events, event_ring::EventRing, hybrid_clock::HybridClock,
    hybrid_time::HybridTime, skew_clock::SkewClock, timeline_event::TimelineEvent,
};
