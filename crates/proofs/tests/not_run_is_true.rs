//! A caller can rely on the verdict that its request was not run: each such answer is compared with
//! the calls that the targets recorded. A wrong verdict would make callers run a request twice.

use {
    base::{FailureReason, HostState, RunVerdict},
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller},
    serde_json::json,
    stand::{CallOutcome, DirectionFault, ProxyFault},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const TARGETS: [&str; 6] = [
    "encode1", "encode2", "ledger1", "ledger2", "model1", "model2",
];
const ENTRIES: [&str; 2] = ["h1", "h2"];
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of requests of one round.
const ROUND_SIZE: usize = 40;
/// Number of requests of a round that overloads the encoders.
const OVERLOAD_SIZE: usize = 400;

/// A fleet with the outcomes of all requests that were sent to it.
struct NotRunAudit {
    fleet: FleetHarness,
    caller: TestCaller,
    /// Outcomes by `customer/request`.
    outcomes: BTreeMap<String, RunOutcome>,
    /// Number of requests sent so far.
    sent_count: usize,
}

impl NotRunAudit {
    async fn start(plan: FleetPlan) -> Self {
        let fleet = FleetHarness::start(plan).await.unwrap();
        Self {
            fleet,
            caller: TestCaller::new(),
            outcomes: BTreeMap::new(),
            sent_count: 0,
        }
    }

    /// Sends a mix of requests to all entries at the same time, each changed by `change`, and
    /// records their outcomes.
    async fn send_round(&mut self, count: usize, change: impl Fn(&mut RunRequest)) {
        let mut runs = Vec::new();
        for _ in 0..count {
            self.sent_count += 1;
            let entry = self
                .fleet
                .caller_address(ENTRIES[self.sent_count % ENTRIES.len()]);
            let mut request = self.next_request(&entry).await;
            change(&mut request);
            let caller = self.caller.clone();
            runs.push(actix_rt::spawn(async move {
                let outcome = caller.run(&entry, &request).await;
                (format!("{}/{}", request.customer, request.request), outcome)
            }));
        }
        for run in runs {
            let (request, outcome) = run.await.unwrap();
            self.outcomes.insert(request, outcome);
        }
    }

    async fn next_request(&self, entry: &str) -> RunRequest {
        let id = format!("r{}", self.sent_count);
        let pipeline = ["look", "read", "pay"][self.sent_count % 3];
        let request = RunRequest::new("farm", pipeline, id, b"hay").within(Duration::from_secs(2));
        if pipeline == "pay" {
            let ticket = self.caller.fetch_ticket(entry, "farm").await.unwrap();
            return request.with_ticket(ticket);
        }
        request
    }

    async fn control_targets(&self, targets: &[&str], patch: serde_json::Value) {
        for target in targets {
            self.fleet.control_target(target, &patch).await.unwrap();
        }
    }

    /// Returns the requests of which a target recorded a call that it did not refuse.
    async fn requests_run(&self) -> BTreeSet<String> {
        let mut requests_run = BTreeSet::new();
        for target in TARGETS {
            // A target that the test has killed ran nothing and has no records to read.
            for record in self.fleet.call_records(target).await.unwrap_or_default() {
                if record.outcome != CallOutcome::Refused {
                    requests_run
                        .insert(format!("{}/{}", record.call.customer, record.call.request));
                }
            }
        }
        requests_run
    }

    /// Checks all answers against the targets' records; returns the reasons of those that say that
    /// the request was not run.
    async fn check_verdicts(&self) -> BTreeSet<FailureReason> {
        let requests_run = self.requests_run().await;
        let mut reasons = BTreeSet::new();
        for (request, outcome) in &self.outcomes {
            if let Some(report) = outcome.failure()
                && report.verdict == RunVerdict::NotRun
            {
                assert!(
                    !requests_run.contains(request),
                    "a target ran {request}, but the caller was told: {report:?}"
                );
                reasons.insert(report.reason);
            }
        }
        reasons
    }
}

/// Guards against a verdict of not run for a request that a target ran: each round adds one fault,
/// from wrong headers and failing targets to cut connections, overload and leaving targets. Each
/// reason that is expected for such a verdict must occur.
#[actix_rt::test]
async fn requests_reported_as_not_run_never_ran() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len()).proxied()).await;
    audit.send_round(ROUND_SIZE, |_| {}).await;
    audit
        .send_round(6, |request| request.credential = String::from("wrong"))
        .await;
    audit
        .send_round(6, |request| request.pipeline = String::from("none"))
        .await;
    audit.send_round(6, |request| request.ticket = None).await;
    audit
        .send_round(6, |request| request.ticket = Some(String::from("forged")))
        .await;
    audit
        .send_round(6, |request| request.remaining = Duration::from_millis(1))
        .await;
    audit
        .send_round(6, |request| request.seen_version = Some(99))
        .await;

    for (targets, patch) in [
        (&TARGETS[..2], json!({ "refuse": true })),
        (&TARGETS[2..4], json!({ "refuse": true })),
        (&TARGETS[..], json!({ "fail_share": 0.5 })),
        (&TARGETS[..], json!({ "cut_answer": true })),
        (&TARGETS[..], json!({ "wrong_identity": true })),
        (&TARGETS[..], json!({ "reply_twice": true })),
        (&TARGETS[..], json!({ "close_pooled": true })),
    ] {
        audit.control_targets(targets, patch).await;
        audit.send_round(ROUND_SIZE, |_| {}).await;
        let no_fault = json!({
            "refuse": false, "fail_share": 0.0, "cut_answer": false,
            "wrong_identity": false, "reply_twice": false, "close_pooled": false,
        });
        audit.control_targets(&TARGETS, no_fault).await;
    }

    for fault in [
        ProxyFault {
            cut: true,
            ..ProxyFault::default()
        },
        ProxyFault {
            from: DirectionFault {
                hold: true,
                ..DirectionFault::default()
            },
            ..Default::default()
        },
        ProxyFault {
            from: DirectionFault {
                half_close: true,
                ..DirectionFault::default()
            },
            ..Default::default()
        },
    ] {
        for target in TARGETS {
            audit.fleet.set_proxy_fault(target, &fault).await.unwrap();
        }
        audit
            .send_round(ROUND_SIZE, |request| {
                request.remaining = Duration::from_millis(700)
            })
            .await;
        for target in TARGETS {
            audit
                .fleet
                .set_proxy_fault(target, &ProxyFault::default())
                .await
                .unwrap();
        }
    }

    audit
        .control_targets(&TARGETS[..2], json!({ "delay_ms": 300 }))
        .await;
    for _ in 0..2 {
        audit
            .send_round(OVERLOAD_SIZE, |request| {
                request.remaining = Duration::from_millis(1_500)
            })
            .await;
    }
    audit
        .control_targets(&TARGETS[..2], json!({ "delay_ms": 5 }))
        .await;

    for target in ["encode1", "encode2"] {
        audit
            .fleet
            .publish_target_state(target, HostState::Leaving)
            .await
            .unwrap();
    }
    audit
        .fleet
        .wait_for_leaving_targets(&ENTRIES, &["encode1", "encode2"], WAIT_TIMEOUT)
        .await
        .unwrap();
    audit.send_round(ROUND_SIZE, |_| {}).await;

    let reasons = audit.check_verdicts().await;
    for reason in [
        FailureReason::BadCredential,
        FailureReason::UnknownPipeline,
        FailureReason::TicketMissing,
        FailureReason::TicketInvalid,
        FailureReason::DeadlineTooShort,
        FailureReason::SheetBehind,
        FailureReason::TargetFailed,
        FailureReason::Overloaded,
        FailureReason::NoTarget,
    ] {
        assert!(
            reasons.contains(&reason),
            "no request failed with {reason}, only with {reasons:?}"
        );
    }
}

/// Guards against wrong verdicts, or complete answers, when all targets of the first stage have
/// been killed.
#[actix_rt::test]
async fn verdicts_are_true_when_targets_are_dead() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len())).await;
    for encoder in ["encode1", "encode2"] {
        audit.fleet.process_mut(encoder).kill().unwrap();
    }
    audit.send_round(ROUND_SIZE, |_| {}).await;
    let reasons = audit.check_verdicts().await;
    assert!(!reasons.is_empty());
    let complete_outcomes = audit
        .outcomes
        .values()
        .filter(|outcome| outcome.complete_answer().is_some());
    assert_eq!(complete_outcomes.count(), 0);
}

/// Guards against passing on the not-run verdict of a target when an earlier stage of the same
/// request has already run.
#[actix_rt::test]
async fn refusal_by_a_later_stage_is_not_reported_as_not_run() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len())).await;
    audit
        .control_targets(&["ledger1", "ledger2"], json!({ "refuse": true }))
        .await;
    audit.sent_count = 1;
    audit.send_round(1, |_| {}).await;
    let outcome = audit.outcomes.values().next().unwrap();
    let report = outcome.failure().unwrap();
    assert_eq!(report.verdict, RunVerdict::RanAndFailed, "{report:?}");
    audit.check_verdicts().await;
}
