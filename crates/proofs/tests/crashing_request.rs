//! A request that crashes its targets is stopped after at most two targets across all entries,
//! also when it is sent again elsewhere; its neighbours on those targets finish whole.

use {
    base::{FailureReason, RunVerdict, StreamEvent},
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    sheet::PoolKind,
    stand::{EchoRule, EchoStage},
    std::{collections::BTreeSet, ops::Range, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(20);
const ENTRIES: [&str; 4] = ["h1", "h2", "h3", "h4"];
const ENGINES: [&str; 6] = ["model1", "model2", "model3", "model4", "model5", "model6"];
const ENCODERS: [&str; 6] = [
    "encode1", "encode2", "encode3", "encode4", "encode5", "encode6",
];
/// Targets that one request may crash.
const MOST_CRASHES: usize = 2;
/// Streams that run beside the crasher.
const NEIGHBOURS: usize = 16;
/// Streams that fill every engine, so that each crash meets many of every entry.
const CROWD: usize = 48;
/// Time that an encoder takes for a call in milliseconds, so that a crash comes before its end.
const ENCODE_MS: f64 = 100.0;
/// Input that crashes every target that takes it.
const CRASHER: &[u8] = b"crash-target tokens=50";

/// A neighbour whose stream has begun: its id, its input and its end.
type Neighbour = (
    String,
    String,
    actix_rt::task::JoinHandle<anyhow::Result<RunOutcome>>,
);

/// A fleet with neighbours on its engines, and what has crashed there.
struct CrashTrial {
    fleet: FleetHarness,
    caller: TestCaller,
    neighbours: Vec<Neighbour>,
    /// Exits of targets that were started again since.
    restarted: usize,
}

impl CrashTrial {
    async fn start(plan: FleetPlan, neighbours: Range<usize>) -> Self {
        let mut trial = Self {
            fleet: FleetHarness::start(plan).await.unwrap(),
            caller: TestCaller::new(),
            neighbours: Vec::new(),
            restarted: 0,
        };
        for number in neighbours {
            trial.open_neighbour(number).await;
        }
        for encoder in ENCODERS {
            trial
                .fleet
                .control_target(encoder, &json!({ "delay_ms": ENCODE_MS }))
                .await
                .unwrap();
        }
        trial
    }

    /// Starts a stream with an id and body of its own and waits for its first token.
    async fn open_neighbour(&mut self, number: usize) {
        let entry = self.fleet.caller_address(ENTRIES[number % ENTRIES.len()]);
        let id = format!("neighbour{number}");
        let input = format!("bale {number} tokens=200");
        let request = RunRequest::new("farm", "read", &id, input.as_bytes());
        let request = request.streamed().within(LIMIT);
        let mut stream = self.caller.open_stream(&entry, &request).await.unwrap();
        while !matches!(
            stream.next().await.unwrap(),
            Some(StreamEvent::Token { .. })
        ) {}
        let end = actix_rt::spawn(stream.read_outcome());
        self.neighbours.push((id, input, end));
    }

    fn request(pipeline: &str, id: &str) -> RunRequest {
        RunRequest::new("farm", pipeline, id, CRASHER).within(LIMIT)
    }

    /// Sends the crasher to an entry under an id.
    async fn send(&self, host: &str, pipeline: &str, id: &str) -> RunOutcome {
        let request = Self::request(pipeline, id);
        self.caller
            .run(&self.fleet.caller_address(host), &request)
            .await
    }

    /// Sends the crasher to entries at the same moment under ids of their own.
    async fn send_at_once(&self, hosts: &[&str], pipeline: &str, id: &str) -> Vec<RunOutcome> {
        let runs = hosts.iter().map(|host| {
            let (caller, entry) = (self.caller.clone(), self.fleet.caller_address(host));
            let request = Self::request(pipeline, &format!("{id}-{host}"));
            actix_rt::spawn(async move { caller.run(&entry, &request).await })
        });
        let mut outcomes = Vec::new();
        for run in runs.collect::<Vec<_>>() {
            outcomes.push(run.await.unwrap());
        }
        outcomes
    }

    /// Targets whose process has exited now.
    fn exited(&mut self) -> BTreeSet<&'static str> {
        let names = ENGINES.into_iter().chain(ENCODERS);
        let ended = |name: &&str| self.fleet.process_mut(name).ended().is_some();
        names.filter(ended).collect()
    }

    /// Targets that exited since the start.
    fn crashes(&mut self) -> usize {
        self.restarted + self.exited().len()
    }

    /// Starts again every target that has exited.
    async fn restart(&mut self) {
        for name in self.exited() {
            self.restarted += 1;
            self.fleet.restart_target(name).await.unwrap();
        }
    }

    fn check_crashes(&mut self) {
        self.check_at_most(MOST_CRASHES);
    }

    fn check_at_most(&mut self, most: usize) {
        let exited = self.exited();
        let crashes = self.crashes();
        assert!(crashes <= most, "{crashes} crashes: {exited:?}");
        assert!(crashes > 0, "the crasher ran nowhere");
    }

    /// Strikes of other entries that an entry has heard of.
    async fn peer_strikes(&self, host: &str) -> u64 {
        let url = format!("{}/status", self.fleet.operator_url(host));
        let status: serde_json::Value = self.fleet.probe().get(&url).await.unwrap_or_default();
        status["peer_strikes"].as_u64().unwrap_or(0)
    }

    /// Every neighbour gets its whole answer.
    async fn check_neighbours(&mut self) {
        let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
        for (id, input, end) in std::mem::take(&mut self.neighbours) {
            let outcome = end.await.unwrap();
            let expected = EchoRule::pipeline_answer("farm", &id, input.as_bytes(), &stages);
            let whole = outcome.as_ref().ok().and_then(RunOutcome::complete_answer);
            assert!(whole == Some(expected.as_slice()), "{id}: {outcome:?}");
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

/// A send of the crasher, which can only fail.
fn check_stopped(outcome: &RunOutcome) {
    let report = outcome.failure();
    assert!(report.is_some(), "{outcome:?}");
}

/// A send that an entry refuses without running it.
fn check_refused(outcome: &RunOutcome) {
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::CrashSuspect, "{report:?}");
    assert_eq!(report.verdict, RunVerdict::NotRun, "{report:?}");
}

#[actix_rt::test]
async fn one_send_crashes_at_most_two_targets() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
        let outcome = trial.send("h1", pipeline, "crasher").await;
        let report = outcome.failure().unwrap();
        assert_ne!(report.verdict, RunVerdict::NotRun, "it ran: {report:?}");
        trial.check_neighbours().await;
        trial.check_crashes();
    }
}

#[actix_rt::test]
async fn neighbours_of_other_entries_are_not_taken_for_the_crasher() {
    for round in 0..5 {
        let first = round * CROWD;
        let mut trial = CrashTrial::start(plan(), first..first + CROWD).await;
        check_stopped(&trial.send("h1", "chat", "crasher").await);
        trial.check_neighbours().await;
        trial.check_crashes();
    }
}

#[actix_rt::test]
async fn sends_to_further_entries_after_each_failure_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
        for round in 0..3 {
            for host in ENTRIES {
                let id = format!("crasher{round}-{host}");
                let outcome = trial.send(host, pipeline, &id).await;
                check_stopped(&outcome);
                if (round, host) != (0, "h1") {
                    check_refused(&outcome);
                }
            }
        }
        trial.check_neighbours().await;
        trial.check_crashes();
    }
}

#[actix_rt::test]
async fn posting_that_crashes_is_stopped_at_the_second_target() {
    let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
    for round in 0..3 {
        for host in ENTRIES {
            let entry = trial.fleet.caller_address(host);
            let ticket = trial.caller.fetch_ticket(&entry, "farm").await.unwrap();
            let id = format!("crasher{round}-{host}");
            let request = CrashTrial::request("pay", &id).with_ticket(ticket);
            check_stopped(&trial.caller.run(&entry, &request).await);
        }
    }
    trial.check_neighbours().await;
    trial.check_crashes();
}

#[actix_rt::test]
async fn copies_sent_after_the_first_crash_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
        let (caller, entry) = (trial.caller.clone(), trial.fleet.caller_address("h1"));
        let request = CrashTrial::request(pipeline, "first");
        let first = actix_rt::spawn(async move { caller.run(&entry, &request).await });
        wait_until("a target crashes", LIMIT, async || trial.crashes() > 0)
            .await
            .unwrap();
        for round in 0..5 {
            let id = format!("copy{round}");
            for outcome in trial.send_at_once(&ENTRIES[1..], pipeline, &id).await {
                check_stopped(&outcome);
                // Those of the first round may leave before their entry has heard of the crash.
                if round > 0 {
                    check_refused(&outcome);
                }
            }
        }
        check_stopped(&first.await.unwrap());
        trial.check_neighbours().await;
        trial.check_crashes();
    }
}

/// Copies that leave before any entry has heard of a crash meet the same two targets.
#[actix_rt::test]
async fn copies_to_all_entries_at_once_crash_no_third_target() {
    for pipeline in ["chat", "read"] {
        let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
        for round in 0..3 {
            let id = format!("copy{round}");
            for outcome in trial.send_at_once(&ENTRIES, pipeline, &id).await {
                check_stopped(&outcome);
            }
        }
        trial.check_neighbours().await;
        trial.check_crashes();
    }
}

#[actix_rt::test]
async fn restarted_targets_are_not_crashed_again() {
    let mut trial = CrashTrial::start(plan(), 0..NEIGHBOURS).await;
    let (caller, entry) = (trial.caller.clone(), trial.fleet.caller_address("h1"));
    let request = CrashTrial::request("chat", "first");
    let first = actix_rt::spawn(async move { caller.run(&entry, &request).await });
    wait_until("a target crashes", LIMIT, async || trial.crashes() > 0)
        .await
        .unwrap();
    wait_until("h2 hears of the crash", LIMIT, async || {
        trial.peer_strikes("h2").await >= 1
    })
    .await
    .unwrap();
    trial.restart().await;
    check_stopped(&first.await.unwrap());
    for round in 0..3 {
        trial.restart().await;
        for host in ENTRIES {
            let id = format!("again{round}-{host}");
            check_refused(&trial.send(host, "chat", &id).await);
        }
    }
    trial.check_neighbours().await;
    trial.check_crashes();
}

#[actix_rt::test]
async fn entry_that_was_cut_off_hears_of_the_strikes_when_it_is_back() {
    let mut plan = plan();
    for entry in &mut plan.entries {
        entry.proxied = true;
    }
    let mut trial = CrashTrial::start(plan, 0..NEIGHBOURS).await;
    trial.fleet.isolate_host("h4").await.unwrap();
    check_stopped(&trial.send("h1", "chat", "crasher-h1").await);
    trial.check_crashes();
    trial.fleet.clear_entry_faults().await.unwrap();
    wait_until("h4 hears of the crashes", LIMIT, async || {
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
    trial.check_neighbours().await;
    trial.check_crashes();
}

/// Parts that do not hear of each other each find out for themselves.
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
            check_stopped(&trial.send(host, "chat", &id).await);
        }
    }
    trial.check_at_most(2 * MOST_CRASHES);
    trial.fleet.clear_entry_faults().await.unwrap();
    let crashed = trial.crashes();
    for round in 0..3 {
        for host in ENTRIES {
            let id = format!("healed{round}-{host}");
            check_refused(&trial.send(host, "chat", &id).await);
        }
    }
    assert_eq!(trial.crashes(), crashed);
}
