use {
    crate::{
        dialect::{StoreChanges, WireFault},
        shared::{RelayCore, boot_time},
        state::{
            AnswerOrigin, StoreRequest,
            peer_feed::{feed_source, follow_peer},
        },
        target::CallFault,
    },
    bytes::Bytes,
    slog::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time within which the store must answer a call, in addition to the time for which the call waits
/// for changes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time within which the store must answer a check, in addition to the time for which the check
/// waits for changes. It is short because the next check follows soon.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest answer of the store, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Delay before the next check after one that failed, at an entry that checks for others.
const FAILED_CHECK_DELAY: Duration = Duration::from_millis(400);
/// What each live entry adds to that delay at the others, so that an outage of the store does not
/// bring it more calls the larger the fleet is.
const FAILED_CHECK_DELAY_PER_ENTRY: Duration = Duration::from_millis(15);

/// An answer of the store.
struct StoreAnswer {
    origin: AnswerOrigin,
    status: u16,
    body: Bytes,
}

/// Reads the platform's store and learns of its changes for as long as the process runs, from the
/// store itself or from a peer that watches it.
pub async fn read_store(core: Rc<RelayCore>) {
    loop {
        let source = match core.replica.borrow().is_watching() {
            true => feed_source(&core, Instant::now()),
            false => None,
        };
        if let Some(source) = source {
            follow_peer(&core, &source).await;
        }
        let (request, send_at) = core.replica.borrow().next_request();
        actix_rt::time::sleep_until(send_at.into()).await;
        let answer = tokio::select! {
            answer = call_store(&core, &request, ANSWER_TIMEOUT) => answer,
            // A check has shown that the watch misses changes.
            () = core.watch_restart.notified() => continue,
        };
        let failed_call_count = core.replica.borrow().failed_call_count();
        let outcome = answer.and_then(|answer| apply_answer(&core, &request, &answer));
        let now = Instant::now();
        log_contact_change(&core, failed_call_count, outcome.as_ref().err());
        if let Err(fault) = outcome {
            core.replica.borrow_mut().on_fault(&fault, now);
            // The next watch is answered only when something changes, and one lost call proves little.
            core.check_wanted.notify_one();
        }
        publish_view(&core, now);
    }
}

/// Checks the store for changes whenever a check is requested.
pub async fn check_store(core: Rc<RelayCore>) {
    loop {
        core.check_wanted.notified().await;
        let Some(request) = core.replica.borrow().check_request() else {
            continue;
        };
        let answer = call_store(&core, &request, CHECK_TIMEOUT).await;
        let now = Instant::now();
        let changes = answer.and_then(|answer| Ok((answer.origin, read_changes(&core, &answer)?)));
        let failed_call_count = core.replica.borrow().failed_call_count();
        log_contact_change(&core, failed_call_count, changes.as_ref().err());
        let has_failed = changes.is_err();
        let must_restart = match changes {
            Ok((origin, changes)) => core.replica.borrow_mut().on_check(changes, origin, now),
            Err(fault) => core.replica.borrow_mut().on_check_fault(&fault, now),
        };
        if must_restart {
            info!(core.log, "watch of the store begins anew");
            core.watch_restart.notify_one();
        }
        publish_view(&core, now);
        if has_failed {
            actix_rt::time::sleep(failed_check_delay(&core, now)).await;
        }
    }
}

/// Logs items that could not be parsed, puts the replica's view of the store in force and wakes the
/// feeds of other entries.
pub fn publish_view(core: &RelayCore, now: Instant) {
    let mut replica = core.replica.borrow_mut();
    replica.remove_expired(now);
    let position = replica.position();
    core.position_changed.send_if_modified(|known| {
        if known.revision == 0 && position.revision > 0 {
            info!(core.log, "store read for the first time";
                "era" => position.era, "revision" => position.revision);
        } else if known.era != position.era {
            warn!(core.log, "store came back from an older copy";
                "era" => position.era, "revision" => position.revision);
        }
        std::mem::replace(known, position) != position
    });
    for (key, reason) in replica.take_unreadable() {
        warn!(core.log, "store entry ignored"; "key" => key, "reason" => reason);
    }
    let passed = replica.take_passed_targets();
    core.observe_passed_targets(&passed, replica.view(), now);
    core.apply_state(replica.view(), now);
}

/// Returns the delay before the next check after one that failed.
fn failed_check_delay(core: &RelayCore, now: Instant) -> Duration {
    match feed_source(core, now) {
        Some(_) => {
            let entry_count = u32::try_from(core.live_entry_count(now)).unwrap_or(u32::MAX);
            FAILED_CHECK_DELAY + FAILED_CHECK_DELAY_PER_ENTRY * entry_count
        }
        None => FAILED_CHECK_DELAY,
    }
}

async fn call_store(
    core: &Rc<RelayCore>,
    request: &StoreRequest,
    timeout: Duration,
) -> Result<StoreAnswer, WireFault> {
    let dialect = &core.dialects.store;
    let (call, wait) = match request {
        StoreRequest::Read { after } => (dialect.write_page_read(after.as_deref()), Duration::ZERO),
        StoreRequest::Watch { revision, wait } => (dialect.write_watch(*revision, *wait), *wait),
    };
    let called_at = Some(boot_time());
    let store = core.settings.borrow().store;
    core.metrics.store_calls.inc();
    let exchange =
        core.control_connections
            .call_and_read(store, call, wait + timeout, MAX_ANSWER_BYTES);
    let reply = exchange.await.map_err(to_wire_fault)?;
    let era = dialect.read_era(&reply.headers);
    let answer = StoreAnswer {
        origin: AnswerOrigin { era, called_at },
        status: reply.status,
        body: reply.body.clone(),
    };
    reply.keep_connection();
    Ok(answer)
}

/// Applies the answer to a request of [`read_store`] to the replica.
fn apply_answer(
    core: &RelayCore,
    request: &StoreRequest,
    answer: &StoreAnswer,
) -> Result<(), WireFault> {
    let now = Instant::now();
    match request {
        StoreRequest::Read { .. } => {
            let page = core.dialects.store.read_page(answer.status, &answer.body)?;
            core.replica.borrow_mut().on_page(page, answer.origin, now);
        }
        StoreRequest::Watch { .. } => {
            let changes = read_changes(core, answer)?;
            core.replica
                .borrow_mut()
                .on_changes(changes, answer.origin, now);
        }
    }
    Ok(())
}

fn read_changes(core: &RelayCore, answer: &StoreAnswer) -> Result<StoreChanges, WireFault> {
    core.dialects
        .store
        .read_changes(answer.status, &answer.body)
}

fn to_wire_fault(fault: CallFault) -> WireFault {
    match fault {
        CallFault::TooLong => WireFault::TooLong,
        fault => WireFault::Malformed(format!("{fault:?}")),
    }
}

/// Logs that the store stops or resumes answering, or no longer has the changes that are needed.
/// `failed_call_count` is the number of calls that failed in a row before the last one.
fn log_contact_change(core: &RelayCore, failed_call_count: u32, fault: Option<&WireFault>) {
    match fault {
        Some(WireFault::HistoryGone) => {
            info!(core.log, "store history gone, reading all again");
        }
        Some(WireFault::TooLong) => {
            warn!(core.log, "answer of the store is too long, reading what is");
        }
        Some(fault) if failed_call_count == 0 => warn!(core.log, "store lost"; "reason" => %fault),
        None if failed_call_count > 0 => {
            info!(core.log, "store regained"; "failed_calls" => failed_call_count)
        }
        Some(_) | None => {}
    }
}
