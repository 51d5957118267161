//! Properties of a run over random events: verdicts are true, answers are whole, and what may
//! not be repeated is not.

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

const SEED: u64 = 0x91e;
const TOKENS: u64 = 5;

/// What a target does with the call that it is given.
#[derive(Debug, Clone, Copy)]
enum TargetAct {
    Answer,
    AnswerTwice,
    DieAfter(u64),
    Error,
    Refuse,
    Unreachable,
    Late,
    Hedge,
}

fn acts() -> impl Strategy<Value = Vec<TargetAct>> {
    let act = prop_oneof![
        4 => Just(TargetAct::Answer),
        1 => Just(TargetAct::AnswerTwice),
        2 => (0..TOKENS).prop_map(TargetAct::DieAfter),
        1 => Just(TargetAct::Error),
        1 => Just(TargetAct::Refuse),
        1 => Just(TargetAct::Unreachable),
        1 => Just(TargetAct::Late),
        1 => Just(TargetAct::Hedge),
    ];
    prop::collection::vec(act, 0..12)
}

fn plan(kinds: &[(bool, bool)]) -> RunPlan {
    let stages = kinds.iter().map(|(engine, repeatable)| PlanStage {
        pool: String::from("pool"),
        call: String::from("call"),
        model: None,
        is_engine: *engine,
        is_repeatable: *repeatable,
        min_time: Duration::ZERO,
    });
    RunPlan {
        pipeline: String::from("p"),
        stages: stages.collect(),
    }
}

/// The targets' side: what ran, by stage.
struct TargetSide {
    plan: RunPlan,
    ran: Vec<u32>,
    emitted: Vec<u64>,
}

impl TargetSide {
    fn events(&mut self, spec: &CallSpec, act: TargetAct) -> Vec<RunEvent> {
        let attempt = spec.attempt;
        let failed = |failure| vec![RunEvent::Failed { attempt, failure }];
        match act {
            TargetAct::Unreachable => {
                return failed(CallFailure::NotSent(NotRunProof::dial_failed()));
            }
            TargetAct::Refuse => {
                return failed(CallFailure::Refused(NotRunProof::target_refused()));
            }
            _ => self.ran[usize::from(spec.stage)] += 1,
        }
        match act {
            TargetAct::Error => failed(CallFailure::Errored),
            TargetAct::Late => failed(CallFailure::TimedOut),
            TargetAct::DieAfter(count) => {
                let mut events = self.tokens(spec, count.max(spec.resume_at));
                events.push(RunEvent::Failed {
                    attempt,
                    failure: CallFailure::Lost,
                });
                events
            }
            TargetAct::AnswerTwice => {
                let mut events = self.whole(spec);
                events.extend(events.clone());
                events
            }
            _ => self.whole(spec),
        }
    }

    fn whole(&self, spec: &CallSpec) -> Vec<RunEvent> {
        let attempt = spec.attempt;
        if !self.plan.stages[usize::from(spec.stage)].is_engine {
            return vec![RunEvent::Answered {
                attempt,
                body: Bytes::from("done"),
            }];
        }
        let mut events = self.tokens(spec, TOKENS);
        events.push(RunEvent::Ended {
            attempt,
            tokens: TOKENS,
            digest: whole_digest(),
        });
        events
    }

    fn tokens(&self, spec: &CallSpec, end: u64) -> Vec<RunEvent> {
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

fn whole_digest() -> String {
    let mut digest = AnswerDigest::new();
    for index in 0..TOKENS {
        digest.update(format!("t{index}").as_bytes());
    }
    digest.hex()
}

/// Runs a request against targets that act as told, and checks each step.
fn check_run(kinds: &[(bool, bool)], acts: &[TargetAct]) -> Result<(), TestCaseError> {
    let now = Instant::now();
    let plan = plan(kinds);
    let deadline = now + Duration::from_secs(1);
    let mut side = TargetSide {
        plan: plan.clone(),
        ran: vec![0; kinds.len()],
        emitted: Vec::new(),
    };
    let mut run = RunState::new(plan, Bytes::from("in"), deadline, RunClaim::new());
    let mut acts = acts.iter().copied();
    let mut events = vec![RunEvent::Start];
    let mut ends = 0;
    while !events.is_empty() {
        let event = events.remove(0);
        for action in run.on_event(event, now, || true) {
            match action {
                RunAction::Call(spec) => {
                    let act = acts.next().unwrap_or(TargetAct::Answer);
                    if matches!(act, TargetAct::Hedge) {
                        events.push(RunEvent::HedgeDue {
                            attempt: spec.attempt,
                        });
                    }
                    events.extend(side.events(&spec, act));
                }
                RunAction::Emit { index, .. } => side.emitted.push(index),
                RunAction::Cancel { .. } => {}
                RunAction::Finish(answer) => {
                    ends += 1;
                    check_answer(&answer, &side)?;
                }
                RunAction::Fail(report) => {
                    ends += 1;
                    let ran = side.ran.iter().sum::<u32>();
                    prop_assert!(ran == 0 || report.verdict != RunVerdict::NotRun);
                    prop_assert!(ran > 0 || report.verdict == RunVerdict::NotRun);
                }
            }
        }
    }
    prop_assert_eq!(ends, 1);
    for (ran, (_, repeatable)) in side.ran.iter().zip(kinds) {
        prop_assert!(*repeatable || *ran <= 1);
    }
    Ok(())
}

fn check_answer(answer: &RunAnswer, side: &TargetSide) -> Result<(), TestCaseError> {
    if let RunAnswer::Tokens { tokens, digest, .. } = answer {
        prop_assert_eq!(*tokens, TOKENS);
        prop_assert_eq!(digest, &whole_digest());
        prop_assert_eq!(&side.emitted, &(0..TOKENS).collect::<Vec<_>>());
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each run ends once, with a true verdict or a whole answer; what may not be repeated ran
    /// at most once.
    #[test]
    fn run_keeps_its_promises(
        kinds in prop::collection::vec((any::<bool>(), any::<bool>()), 1..5),
        acts in acts(),
    ) {
        check_run(&kinds, &acts)?;
    }
}

#[test]
fn late_wakeup_starts_nothing() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
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
fn spent_budget_stops_retries() {
    let now = Instant::now();
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
