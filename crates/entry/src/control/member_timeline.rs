use {base::HostId, member::MemberEvent, stamp::EventKind};

/// Returns kind, member and detail of the timeline event for a member event. The member is empty
/// if the event concerns a target or this process itself. Some kinds stand for several member
/// events, which the detail tells apart: `MemberLive`, `ViewDoubted` and `Drain`.
pub fn timeline_fields(event: &MemberEvent) -> (EventKind, HostId, String) {
    let empty = String::new();
    match event {
        MemberEvent::Live { host, .. } => (EventKind::MemberLive, host.clone(), empty),
        MemberEvent::Suspect { host, .. } => (EventKind::MemberSuspect, host.clone(), empty),
        MemberEvent::Gone { host } => (EventKind::MemberGone, host.clone(), empty),
        MemberEvent::Leaving { host, .. } => (EventKind::MemberLeaving, host.clone(), empty),
        MemberEvent::SelfLeaving => (
            EventKind::Drain,
            empty,
            String::from("the host list or a peer marks this process as leaving"),
        ),
        MemberEvent::SelfSuperseded { .. } => (
            EventKind::Drain,
            empty,
            String::from("a later process runs under this host's name"),
        ),
        MemberEvent::TargetLeaving { target, source } => (
            EventKind::TargetLeaving,
            empty,
            format!("{target} by {source:?}"),
        ),
        MemberEvent::TargetCleared { target } => (EventKind::TargetCleared, empty, target.clone()),
        MemberEvent::SheetSeen { host, version, .. } => (
            EventKind::MemberLive,
            host.clone(),
            format!("has sheet {version} in force"),
        ),
        MemberEvent::ViewDoubted => (
            EventKind::ViewDoubted,
            empty,
            String::from("more than half of the members are suspects"),
        ),
        MemberEvent::ViewTrusted => (
            EventKind::MemberLive,
            empty,
            String::from("at least half of the members answer again"),
        ),
        MemberEvent::Paused { pause } => (
            EventKind::ViewDoubted,
            empty,
            format!("this process was paused for {pause:?}"),
        ),
    }
}
