use crate::TimelineEvent;

/// Merges the events of several processes into one causal order. Equal times are ordered by
/// process name, and events of one process with equal times keep their order.
///
/// ```
/// use stamp::{EventKind, HybridTime, TimelineEvent, merge_events};
///
/// let sent = TimelineEvent::new(HybridTime::new(5, 0), "h2", EventKind::CallSent);
/// let drain = TimelineEvent::new(HybridTime::new(5, 1), "h1", EventKind::Drain);
/// let merged = merge_events([vec![drain.clone()], vec![sent.clone()]]);
/// assert_eq!(merged, vec![sent, drain]);
/// ```
pub fn merge_events(lists: impl IntoIterator<Item = Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<_> = lists.into_iter().flatten().collect();
    events.sort_by(|left, right| {
        let order = left.at.cmp(&right.at);
        order.then_with(|| left.process.cmp(&right.process))
    });
    events
}
