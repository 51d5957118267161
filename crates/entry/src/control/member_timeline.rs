use {base::HostId, member::MemberEvent, stamp::EventKind};

/// Kind, member and words of an event for the time line.
pub fn timeline_fields(event: &MemberEvent) -> (EventKind, HostId, String) {
    let none = String::new();
    match event {
        MemberEvent::Live { host, .. } => (EventKind::MemberLive, host.clone(), none),
        MemberEvent::Suspect { host, .. } => (EventKind::MemberSuspect, host.clone(), none),
        MemberEvent::Gone { host } => (EventKind::MemberGone, host.clone(), none),
        MemberEvent::Leaving { host, .. } => (EventKind::MemberLeaving, host.clone(), none),
        MemberEvent::SelfLeaving => (EventKind::Drain, none, String::from("told to leave")),
        MemberEvent::SelfSuperseded { .. } => (
            EventKind::Drain,
            none,
            String::from("a later process has this host's name"),
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
            format!("has sheet {version}"),
        ),
        MemberEvent::ViewDoubted => (
            EventKind::ViewDoubted,
            none,
            String::from("most are silent"),
        ),
        MemberEvent::ViewTrusted => (EventKind::MemberLive, none, String::from("most answer")),
        MemberEvent::Paused { pause } => (
            EventKind::ViewDoubted,
            none,
            format!("this process stood still for {pause:?}"),
        ),
    }
}
