//! A request that crashes each target it runs on is refused after at most two crashes across all
//! entries, even if it is sent again to other entries. Streams that run on the crashed targets
//! still get their complete answers.

use {
    base::{FailureReason, RunVerdict, StreamEvent},
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    sheet::PoolKind,
    stand::{EchoRule, EchoStage},
    std::{collections::BTreeSet, ops::Range, time::Duration},
};

/// Time until the deadline of every request, and timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);
const ENTRIES: [&str; 4] = ["h1", "h2", "h3", "h4"];
const ENGINES: [&str; 6] = ["model1", "model2", "model3", "model4", "model5", "model6"];
const ENCODERS: [&str; 6] = [
    "encode1", "encode2", "encode3", "encode4", "encode5", "encode6",
];
/// Number of targets that one request may crash.
const MAX_CRASHES: usize = 2;
/// Number of streams that run on the engines at the same time as the crashing request.
const STREAM_COUNT: usize = 16;
/// Number of streams that load every engine so that each crash breaks streams of every entry.
const FULL_STREAM_COUNT: usize = 48;
/// Time that an encoder takes for a call, in milliseconds; long enough for a crash to come first.
const ENCODE_DELAY_MS: f64 = 100.0;
/// Input that crashes every target that accepts it.
const CRASHING_INPUT: &[u8] = b"crash-target tokens=50";

/// A bystander stream that has begun: its request id, its input and the task that reads it.
type BystanderStream = (
    String,
    String,
    actix_rt::task::JoinHandle<anyhow::Result<RunOutcome>>,
);

/// A fleet with bystander streams on its engines, and a count of the targets that crashed.
struct CrashTrial {
    fleet: FleetHarness,
    caller: TestCaller,
    bystanders: Vec<BystanderStream>,
    /// Number of crashed targets that the test has restarted.
    restart_count: usize,
}

impl CrashTrial {
    async fn start(plan: FleetPlan, bystander_numbers: Range<usize>) -> Self {
        let mut trial = Self {
            fleet: FleetHarness::start(plan).await.unwrap(),
            caller: TestCaller::new(),
            bystanders: Vec::new(),
            restart_count: 0,
        };
        for number in bystander_numbers {
            trial.open_bystander(number).await;
        }
        for encoder in ENCODERS {
            trial
                .fleet
                .control_target(encoder, &json!({ "delay_ms": ENCODE_DELAY_MS }))
                .await
                .unwrap();
        }
        trial
    }

    /// Opens a stream with its own id and input and waits for its first token.
    async fn open_bystander(&mut self, number: usize) {
        let entry = self.fleet.caller_address(ENTRIES[number % ENTRIES.len()]);
        let id = format!("neighbour{number}");
        let input = format!("bale {number} tokens=200");
        let request = RunRequest::new("farm", "read", &id, input.as_bytes());
        let request = request.streamed().within(TIMEOUT);
        let mut stream = self.caller.open_stream(&entry, &request).await.unwrap();
        while !matches!(
            stream.next().await.unwrap(),
            Some(StreamEvent::Token { .. })
        ) {}
        let outcome_task = actix_rt::spawn(stream.read_outcome());
        self.bystanders.push((id, input, outcome_task));
    }

    fn crashing_request(pipeline: &str, id: &str) -> RunRequest {
        RunRequest::new("farm", pipeline, id, CRASHING_INPUT).within(TIMEOUT)
    }

    /// Sends the crashing input to an entry under a request id.
    async fn send(&self, host: &str, pipeline: &str, id: &str) -> RunOutcome {
        let request = Self::crashing_request(pipeline, id);
        self.caller
            .run(&self.fleet.caller_address(host), &request)
            .await
    }

    /// Sends the crashing input to several entries at the same time, to each under its own id.
    async fn send_at_once(&self, hosts: &[&str], pipeline: &str, id: &str) -> Vec<RunOutcome> {
        let runs = hosts.iter().map(|host| {
            let (caller, entry) = (self.caller.clone(), self.fleet.caller_address(host));
            let request = Self::crashing_request(pipeline, &format!("{id}-{host}"));
            actix_rt::spawn(async move { caller.run(&entry, &request).await })
        });
        let mut outcomes = Vec::new();
        for run in runs.collect::<Vec<_>>() {
            outcomes.push(run.await.unwrap());
        }
        outcomes
    }

    /// Returns the targets whose process has exited and was not restarted.
    fn exited_targets(&mut self) -> BTreeSet<&'static str> {
        let names = ENGINES.into_iter().chain(ENCODERS);
        let has_exited = |name: &&str| self.fleet.process_mut(name).ended().is_some();
        names.filter(has_exited).collect()
    }

    /// Returns the number of crashes of targets since the start.
    fn crash_count(&mut self) -> usize {
        self.restart_count + self.exited_targets().len()
    }

    /// Restarts every target that has exited.
    async fn restart_exited(&mut self) {
        for name in self.exited_targets() {
            self.restart_count += 1;
            self.fleet.restart_target(name).await.unwrap();
        }
    }

    fn check_crashes(&mut self) {
        self.check_crashes_at_most(MAX_CRASHES);
    }

    fn check_crashes_at_most(&mut self, max_crashes: usize) {
        let exited = self.exited_targets();
        let crashes = self.crash_count();
        assert!(
            crashes <= max_crashes,
            "{crashes} crashes, not running now: {exited:?}"
        );
        assert!(crashes > 0, "the crashing request crashed no target");
    }

    /// Returns the number of strikes that an entry has received from other entries.
    async fn peer_strikes(&self, host: &str) -> u64 {
        let url = format!("{}/status", self.fleet.operator_url(host));
        let status: serde_json::Value = self.fleet.probe().get(&url).await.unwrap_or_default();
        status["peer_strikes"].as_u64().unwrap_or(0)
    }

    /// Checks that every bystander stream gets its complete answer.
    async fn check_bystanders(&mut self) {
        let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
        for (id, input, outcome_task) in std::mem::take(&mut self.bystanders) {
            let outcome = outcome_task.await.unwrap();
            let expected = EchoRule::pipeline_answer("farm", &id, input.as_bytes(), &stages);
            let answer = outcome.as_ref().ok().and_then(RunOutcome::complete_answer);
            assert!(answer == Some(expected.as_slice()), "{id}: {outcome:?}");
        }
    }
}

fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new(ENTRIES.len())
        .pool("encode", PoolKind::Plain, &["post"])
        .pool("model", PoolKind::Engine, &[])
        .pipeline("read", &[("encode", "encode"), ("model", "generate")])
        .pipeline("chat", &[("model", "generate")])
        .pipeline("pay", &[("encode", "post")])
        .customer("farm", 1);
    for name in ENCODERS {
        plan = plan.target(name, "encode", 8, &[]);
    }
    for name in ENGINES {
        plan = plan.target(name, "model", 16, &[]);
    }
    plan
}

/// Checks that the crashing request failed with a report; it can't succeed.
fn check_failed(outcome: &RunOutcome) {
    let report = outcome.failure();
    assert!(report.is_some(), "{outcome:?}");
}

/// Checks that an entry refused the request as a crash suspect without running it.
fn check_refused(outcome: &RunOutcome) {
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::CrashSuspect, "{report:?}");
    assert_eq!(report.verdict, RunVerdict::NotRun, "{report:?}");
}

/// Guards against an entry that retries a crashing request on one target after another. The crash
/// breaks the other streams on the target, which must resume elsewhere.
#[actix_rt::test]
async fn one_send_crashes_at_most_two_targets() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
        let outcome = trial.send("h1", pipeline, "crasher").await;
        let report = outcome.failure().unwrap();
        assert_ne!(
            report.verdict,
            RunVerdict::NotRun,
            "the request has run: {report:?}"
        );
        trial.check_bystanders().await;
        trial.check_crashes();
    }
}

/// Guards against entries that refuse bystander streams as crash suspects: each crash breaks many
/// streams of every entry, so a bystander can be present at both crashes.
#[actix_rt::test]
async fn bystanders_of_other_entries_are_not_taken_for_the_crashing_request() {
    for round in 0..5 {
        let first = round * FULL_STREAM_COUNT;
        let mut trial = CrashTrial::start(plan(), first..first + FULL_STREAM_COUNT).await;
        check_failed(&trial.send("h1", "chat", "crasher").await);
        trial.check_bystanders().await;
        trial.check_crashes();
    }
}

/// Guards against crashes of further targets when a caller sends the request to one entry after
/// another under new ids, and an entry does not count the crashes that the others have seen.
#[actix_rt::test]
async fn sends_to_other_entries_after_a_failure_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
        for round in 0..3 {
            for host in ENTRIES {
                let id = format!("crasher{round}-{host}");
                let outcome = trial.send(host, pipeline, &id).await;
                check_failed(&outcome);
                if (round, host) != (0, "h1") {
                    check_refused(&outcome);
                }
            }
        }
        trial.check_bystanders().await;
        trial.check_crashes();
    }
}

/// Guards against crashes of further targets by a non-idempotent request: an entry does not retry
/// it, but callers send it again under new ids and tickets.
#[actix_rt::test]
async fn non_idempotent_request_crashes_at_most_two_targets() {
    let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
    for round in 0..3 {
        for host in ENTRIES {
            let entry = trial.fleet.caller_address(host);
            let ticket = trial.caller.fetch_ticket(&entry, "farm").await.unwrap();
            let id = format!("crasher{round}-{host}");
            let request = CrashTrial::crashing_request("pay", &id).with_ticket(ticket);
            check_failed(&trial.caller.run(&entry, &request).await);
        }
    }
    trial.check_bystanders().await;
    trial.check_crashes();
}

/// Guards against crashes of further targets by copies that callers send to other entries while the
/// first send is still retried after its first crash.
#[actix_rt::test]
async fn copies_sent_after_the_first_crash_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
        let (caller, entry) = (trial.caller.clone(), trial.fleet.caller_address("h1"));
        let request = CrashTrial::crashing_request(pipeline, "first");
        let first = actix_rt::spawn(async move { caller.run(&entry, &request).await });
        wait_until("a target crashes", TIMEOUT, async || {
            trial.crash_count() > 0
        })
        .await
        .unwrap();
        for round in 0..5 {
            let id = format!("copy{round}");
            for outcome in trial.send_at_once(&ENTRIES[1..], pipeline, &id).await {
                check_failed(&outcome);
                // Requests of the first round may be sent before their entry learns of the crash.
                if round > 0 {
                    check_refused(&outcome);
                }
            }
        }
        check_failed(&first.await.unwrap());
        trial.check_bystanders().await;
        trial.check_crashes();
    }
}

/// Guards against crashes of a third target by copies that all entries start before any of them has
/// learned of a crash. The copies must meet on the same two targets.
#[actix_rt::test]
async fn copies_to_all_entries_at_once_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
        for round in 0..3 {
            let id = format!("copy{round}");
            for outcome in trial.send_at_once(&ENTRIES, pipeline, &id).await {
                check_failed(&outcome);
            }
        }
        trial.check_bystanders().await;
        trial.check_crashes();
    }
}

/// Guards against crashes of targets that were restarted after a crash: strikes count against the
/// request, so a new process on the same target must not make it acceptable again.
#[actix_rt::test]
async fn restarted_targets_are_not_crashed_again() {
    let mut trial = CrashTrial::start(plan(), 0..STREAM_COUNT).await;
    let (caller, entry) = (trial.caller.clone(), trial.fleet.caller_address("h1"));
    let request = CrashTrial::crashing_request("chat", "first");
    let first = actix_rt::spawn(async move { caller.run(&entry, &request).await });
    wait_until("a target crashes", TIMEOUT, async || {
        trial.crash_count() > 0
    })
    .await
    .unwrap();
    wait_until("h2 has received the strike", TIMEOUT, async || {
        trial.peer_strikes("h2").await >= 1
    })
    .await
    .unwrap();
    trial.restart_exited().await;
    check_failed(&first.await.unwrap());
    for round in 0..3 {
        trial.restart_exited().await;
        for host in ENTRIES {
            let id = format!("again{round}-{host}");
            check_refused(&trial.send(host, "chat", &id).await);
        }
    }
    trial.check_bystanders().await;
    trial.check_crashes();
}

/// Guards against an entry that accepts the crashing request because it was isolated when the other
/// entries counted the strikes and did not receive them afterwards.
#[actix_rt::test]
async fn isolated_entry_learns_of_strikes_after_the_partition() {
    let mut plan = plan();
    for entry in &mut plan.entries {
        entry.proxied = true;
    }
    let mut trial = CrashTrial::start(plan, 0..STREAM_COUNT).await;
    trial.fleet.isolate_host("h4").await.unwrap();
    check_failed(&trial.send("h1", "chat", "crasher-h1").await);
    trial.check_crashes();
    trial.fleet.clear_entry_faults().await.unwrap();
    wait_until("h4 has received both strikes", TIMEOUT, async || {
        trial.peer_strikes("h4").await >= 2
    })
    .await
    .unwrap();
    for round in 0..3 {
        for host in ENTRIES {
            let id = format!("again{round}-{host}");
            check_refused(&trial.send(host, "chat", &id).await);
        }
    }
    trial.check_bystanders().await;
    trial.check_crashes();
}

/// Guards against more crashes than two in each part of a partition. Parts that can't exchange
/// strikes have to detect the crashing request separately; after the partition no target may crash
/// again.
#[actix_rt::test]
async fn each_part_of_a_partition_crashes_at_most_two_targets() {
    let mut plan = plan();
    for entry in &mut plan.entries {
        entry.proxied = true;
    }
    let mut trial = CrashTrial::start(plan, 0..0).await;
    trial.fleet.isolate_host("h4").await.unwrap();
    for round in 0..3 {
        for host in ENTRIES {
            let id = format!("cut{round}-{host}");
            check_failed(&trial.send(host, "chat", &id).await);
        }
    }
    trial.check_crashes_at_most(2 * MAX_CRASHES);
    trial.fleet.clear_entry_faults().await.unwrap();
    let crashes_before = trial.crash_count();
    for round in 0..3 {
        for host in ENTRIES {
            let id = format!("healed{round}-{host}");
            check_refused(&trial.send(host, "chat", &id).await);
        }
    }
    assert_eq!(trial.crash_count(), crashes_before);
}
