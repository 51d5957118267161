use {base::HostId, member::MemberEvent, stamp::EventKind};

/// Returns kind, member and detail of the time line event for a member event. The member is empty
/// if the event concerns a target or this process itself.
pub fn timeline_fields(event: &MemberEvent) -> (EventKind, HostId, String) {
    let none = String::new();
    match event {
        MemberEvent::Live { host, .. } => (EventKind::MemberLive, host.clone(), none),
        MemberEvent::Suspect { host, .. } => (EventKind::MemberSuspect, host.clone(), none),
        MemberEvent::Gone { host } => (EventKind::MemberGone, host.clone(), none),
        MemberEvent::Leaving { host, .. } => (EventKind::MemberLeaving, host.clone(), none),
        MemberEvent::SelfLeaving => (
            EventKind::Drain,
            none,
            String::from("the host list or a peer marks this process as leaving"),
        ),
        MemberEvent::SelfSuperseded { .. } => (
            EventKind::Drain,
            none,
            String::from("a later process runs under this host's name"),
        ),
        MemberEvent::TargetLeaving { target, source } => (
            EventKind::TargetLeaving,
            none,
            format!("{target} by {source:?}"),
        ),
        MemberEvent::TargetCleared { target } => (EventKind::TargetCleared, none, target.clone()),
        MemberEvent::SheetSeen { host, version, .. } => (
            EventKind::MemberLive,
            host.clone(),
            format!("has sheet {version} in force"),
        ),
        MemberEvent::ViewDoubted => (
            EventKind::ViewDoubted,
            none,
            String::from("more than half of the members are suspects"),
        ),
        MemberEvent::ViewTrusted => (
            EventKind::MemberLive,
            none,
            String::from("at least half of the members answer again"),
        ),
        MemberEvent::Paused { pause } => (
            EventKind::ViewDoubted,
            none,
            format!("this process was paused for {pause:?}"),
        ),
    }
}
