//! Tests a run against targets that behave at random: verdicts are true, answers are complete, and
//! a stage that must not be repeated runs at most once.

use {
    base::{AnswerDigest, AttemptNumber, RunClaim, RunVerdict},
    bytes::Bytes,
    pipe::{
        CallFailure, CallSpec, NotRunProof, PlanStage, RunAction, RunAnswer, RunEvent, RunPlan,
        RunState,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const RNG_SEED: u64 = 0x91e;
/// Number of tokens in the answer of an engine.
const TOKEN_COUNT: u64 = 5;

/// What a target does with a call.
#[derive(Debug, Clone, Copy)]
enum TargetBehaviour {
    Answer,
    AnswerTwice,
    /// The target dies after this many tokens.
    DieAfter(u64),
    Error,
    Refuse,
    Unreachable,
    /// The target runs the call, which then times out.
    Late,
    /// The target answers, but so late that a hedged call is due.
    Hedge,
}

fn behaviours() -> impl Strategy<Value = Vec<TargetBehaviour>> {
    let behaviour = prop_oneof![
        4 => Just(TargetBehaviour::Answer),
        1 => Just(TargetBehaviour::AnswerTwice),
        2 => (0..TOKEN_COUNT).prop_map(TargetBehaviour::DieAfter),
        1 => Just(TargetBehaviour::Error),
        1 => Just(TargetBehaviour::Refuse),
        1 => Just(TargetBehaviour::Unreachable),
        1 => Just(TargetBehaviour::Late),
        1 => Just(TargetBehaviour::Hedge),
    ];
    prop::collection::vec(behaviour, 0..12)
}

/// Creates a plan; `stage_kinds` tells for each stage whether its targets are engines and whether
/// it may be repeated.
fn plan(stage_kinds: &[(bool, bool)]) -> RunPlan {
    let stages = stage_kinds
        .iter()
        .map(|(is_engine, is_repeatable)| PlanStage {
            pool: String::from("pool"),
            call: String::from("call"),
            model: None,
            is_engine: *is_engine,
            is_repeatable: *is_repeatable,
            min_time: Duration::ZERO,
        });
    RunPlan {
        pipeline: String::from("p"),
        stages: stages.collect(),
    }
}

/// Simulates the targets of a run and records what they ran.
struct TargetSim {
    plan: RunPlan,
    /// Number of calls that targets ran, by stage.
    run_counts: Vec<u32>,
    /// Positions of the tokens that the caller got.
    emitted: Vec<u64>,
}

impl TargetSim {
    /// Runs a call with this behaviour and returns the events that the driver would report.
    fn events(&mut self, spec: &CallSpec, behaviour: TargetBehaviour) -> Vec<RunEvent> {
        let attempt = spec.attempt;
        let failed = |failure| vec![RunEvent::Failed { attempt, failure }];
        match behaviour {
            TargetBehaviour::Unreachable => {
                return failed(CallFailure::NotSent(NotRunProof::dial_failed()));
            }
            TargetBehaviour::Refuse => {
                return failed(CallFailure::Refused(NotRunProof::target_refused()));
            }
            _ => self.run_counts[usize::from(spec.stage)] += 1,
        }
        match behaviour {
            TargetBehaviour::Error => failed(CallFailure::Errored),
            TargetBehaviour::Late => failed(CallFailure::TimedOut),
            TargetBehaviour::DieAfter(count) => {
                let mut events = self.token_events(spec, count.max(spec.resume_at));
                events.push(RunEvent::Failed {
                    attempt,
                    failure: CallFailure::Lost,
                });
                events
            }
            TargetBehaviour::AnswerTwice => {
                let mut events = self.full_answer(spec);
                events.extend(events.clone());
                events
            }
            _ => self.full_answer(spec),
        }
    }

    fn full_answer(&self, spec: &CallSpec) -> Vec<RunEvent> {
        let attempt = spec.attempt;
        if !self.plan.stages[usize::from(spec.stage)].is_engine {
            return vec![RunEvent::Answered {
                attempt,
                body: Bytes::from("done"),
            }];
        }
        let mut events = self.token_events(spec, TOKEN_COUNT);
        events.push(RunEvent::Ended {
            attempt,
            tokens: TOKEN_COUNT,
            digest: full_digest(),
        });
        events
    }

    fn token_events(&self, spec: &CallSpec, end: u64) -> Vec<RunEvent> {
        if !self.plan.stages[usize::from(spec.stage)].is_engine {
            return Vec::new();
        }
        let attempt: AttemptNumber = spec.attempt;
        (spec.resume_at..end)
            .map(|index| RunEvent::Token {
                attempt,
                index,
                text: format!("t{index}"),
            })
            .collect()
    }
}

fn full_digest() -> String {
    let mut digest = AnswerDigest::new();
    for index in 0..TOKEN_COUNT {
        digest.update(format!("t{index}").as_bytes());
    }
    digest.hex()
}

/// Runs a request against targets with the given behaviour at each call, and checks every action.
///
/// `stage_kinds` is as for [`plan`].
fn check_run(
    stage_kinds: &[(bool, bool)],
    behaviours: &[TargetBehaviour],
) -> Result<(), TestCaseError> {
    let now = Instant::now();
    let plan = plan(stage_kinds);
    let deadline = now + Duration::from_secs(1);
    let mut targets = TargetSim {
        plan: plan.clone(),
        run_counts: vec![0; stage_kinds.len()],
        emitted: Vec::new(),
    };
    let mut run = RunState::new(plan, Bytes::from("in"), deadline, RunClaim::new());
    let mut behaviours = behaviours.iter().copied();
    let mut events = vec![RunEvent::Start];
    let mut end_count = 0;
    while !events.is_empty() {
        let event = events.remove(0);
        for action in run.on_event(event, now, || true) {
            match action {
                RunAction::Call(spec) => {
                    let behaviour = behaviours.next().unwrap_or(TargetBehaviour::Answer);
                    if matches!(behaviour, TargetBehaviour::Hedge) {
                        events.push(RunEvent::HedgeDue {
                            attempt: spec.attempt,
                        });
                    }
                    events.extend(targets.events(&spec, behaviour));
                }
                RunAction::Emit { index, .. } => targets.emitted.push(index),
                RunAction::Cancel { .. } => {}
                RunAction::Finish(answer) => {
                    end_count += 1;
                    check_answer(&answer, &targets)?;
                }
                RunAction::Fail(report) => {
                    end_count += 1;
                    let total_runs = targets.run_counts.iter().sum::<u32>();
                    prop_assert!(total_runs == 0 || report.verdict != RunVerdict::NotRun);
                    prop_assert!(total_runs > 0 || report.verdict == RunVerdict::NotRun);
                }
            }
        }
    }
    prop_assert_eq!(end_count, 1);
    for (run_count, (_, is_repeatable)) in targets.run_counts.iter().zip(stage_kinds) {
        prop_assert!(*is_repeatable || *run_count <= 1);
    }
    Ok(())
}

fn check_answer(answer: &RunAnswer, targets: &TargetSim) -> Result<(), TestCaseError> {
    if let RunAnswer::Tokens { tokens, digest, .. } = answer {
        prop_assert_eq!(*tokens, TOKEN_COUNT);
        prop_assert_eq!(digest, &full_digest());
        prop_assert_eq!(&targets.emitted, &(0..TOKEN_COUNT).collect::<Vec<_>>());
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(RNG_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every run ends once, with a true verdict or a complete answer, and no stage that must not be
    /// repeated runs more than once.
    #[test]
    fn run_ends_once_with_a_true_verdict_or_a_complete_answer(
        stage_kinds in prop::collection::vec((any::<bool>(), any::<bool>()), 1..5),
        behaviours in behaviours(),
    ) {
        check_run(&stage_kinds, &behaviours)?;
    }
}

#[test]
fn answer_after_the_deadline_starts_no_further_stage() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    // Two stages of plain services; only the first one may be repeated.
    let plan = plan(&[(false, true), (false, false)]);
    let mut run = RunState::new(plan, Bytes::from("in"), deadline, RunClaim::new());
    run.on_event(RunEvent::Start, now, || true);
    let answer = RunEvent::Answered {
        attempt: 1,
        body: Bytes::from("x"),
    };
    let actions = run.on_event(answer, deadline + Duration::from_secs(5), || true);
    assert!(matches!(&actions[..], [RunAction::Fail(report)]
        if report.verdict == RunVerdict::RanAndFailed));
}

#[test]
fn exhausted_retry_budget_stops_retries() {
    let now = Instant::now();
    // One stage of a plain service that may be repeated.
    let plan = plan(&[(false, true)]);
    let deadline = now + Duration::from_secs(1);
    let mut run = RunState::new(plan, Bytes::from("in"), deadline, RunClaim::new());
    run.on_event(RunEvent::Start, now, || true);
    let failed = RunEvent::Failed {
        attempt: 1,
        failure: CallFailure::Lost,
    };
    let actions = run.on_event(failed, now, || false);
    assert!(matches!(&actions[..], [RunAction::Fail(report)]
        if report.verdict == RunVerdict::MayHaveRun));
}
