//! Whoever is told that a request was not run can rely on it: each such answer is held against
//! what the targets themselves recorded.

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
const LIMIT: Duration = Duration::from_secs(5);
/// Requests of one round.
const REQUESTS: usize = 40;
/// Requests of a round that is meant to overload.
const CROWD: usize = 400;

/// Answers of all rounds by request, and what must be seen in them.
struct NotRunAudit {
    fleet: FleetHarness,
    caller: TestCaller,
    outcomes: BTreeMap<String, RunOutcome>,
    sent: usize,
}

impl NotRunAudit {
    async fn start(plan: FleetPlan) -> Self {
        let fleet = FleetHarness::start(plan).await.unwrap();
        Self {
            fleet,
            caller: TestCaller::new(),
            outcomes: BTreeMap::new(),
            sent: 0,
        }
    }

    /// Sends a mix of requests at once to all entries.
    async fn send(&mut self, count: usize, change: impl Fn(&mut RunRequest)) {
        let mut runs = Vec::new();
        for _ in 0..count {
            self.sent += 1;
            let entry = self
                .fleet
                .caller_address(ENTRIES[self.sent % ENTRIES.len()]);
            let mut request = self.request(&entry).await;
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

    async fn request(&self, entry: &str) -> RunRequest {
        let id = format!("r{}", self.sent);
        let pipeline = ["look", "read", "pay"][self.sent % 3];
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

    /// Requests of which a target says that it took up any part.
    async fn ran(&self) -> BTreeSet<String> {
        let mut ran = BTreeSet::new();
        for target in TARGETS {
            // A target that was killed took nothing up since.
            for record in self.fleet.call_records(target).await.unwrap_or_default() {
                if record.outcome != CallOutcome::Refused {
                    ran.insert(format!("{}/{}", record.call.customer, record.call.request));
                }
            }
        }
        ran
    }

    /// Holds all answers against the targets' records; gives the reasons of those not run.
    async fn check(&self) -> BTreeSet<FailureReason> {
        let ran = self.ran().await;
        let mut reasons = BTreeSet::new();
        for (request, outcome) in &self.outcomes {
            if let Some(report) = outcome.failure()
                && report.verdict == RunVerdict::NotRun
            {
                assert!(
                    !ran.contains(request),
                    "{request} ran, and was told: {report:?}"
                );
                reasons.insert(report.reason);
            }
        }
        reasons
    }
}

#[actix_rt::test]
async fn refusals_ran_nothing_whatever_fails() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len()).proxied()).await;
    audit.send(REQUESTS, |_| {}).await;
    audit
        .send(6, |request| request.credential = String::from("wrong"))
        .await;
    audit
        .send(6, |request| request.pipeline = String::from("none"))
        .await;
    audit.send(6, |request| request.ticket = None).await;
    audit
        .send(6, |request| request.ticket = Some(String::from("forged")))
        .await;
    audit
        .send(6, |request| request.remaining = Duration::from_millis(1))
        .await;
    audit
        .send(6, |request| request.seen_version = Some(99))
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
        audit.send(REQUESTS, |_| {}).await;
        let calm = json!({
            "refuse": false, "fail_share": 0.0, "cut_answer": false,
            "wrong_identity": false, "reply_twice": false, "close_pooled": false,
        });
        audit.control_targets(&TARGETS, calm).await;
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
            .send(REQUESTS, |request| {
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
            .send(CROWD, |request| {
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
        .wait_for_leaving_targets(&ENTRIES, &["encode1", "encode2"], LIMIT)
        .await
        .unwrap();
    audit.send(REQUESTS, |_| {}).await;

    let reasons = audit.check().await;
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
            "{reason} was never met: {reasons:?}"
        );
    }
}

#[actix_rt::test]
async fn dead_targets_leave_true_verdicts() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len())).await;
    for encoder in ["encode1", "encode2"] {
        audit.fleet.process_mut(encoder).kill().unwrap();
    }
    audit.send(REQUESTS, |_| {}).await;
    let reasons = audit.check().await;
    assert!(!reasons.is_empty());
    let whole = audit
        .outcomes
        .values()
        .filter(|outcome| outcome.complete_answer().is_some());
    assert_eq!(whole.count(), 0);
}

#[actix_rt::test]
async fn refusal_of_a_later_stage_is_not_called_not_run() {
    let mut audit = NotRunAudit::start(FleetPlan::small(ENTRIES.len())).await;
    audit
        .control_targets(&["ledger1", "ledger2"], json!({ "refuse": true }))
        .await;
    audit.sent = 1;
    audit.send(1, |_| {}).await;
    let outcome = audit.outcomes.values().next().unwrap();
    let report = outcome.failure().unwrap();
    assert_eq!(report.verdict, RunVerdict::RanAndFailed, "{report:?}");
    audit.check().await;
}
