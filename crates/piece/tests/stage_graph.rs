//! Tests when the stages of a request start and when their results count as read.

use {
    piece::{StageGraph, StageResult},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

fn result(name: &str) -> StageResult {
    StageResult {
        maker: String::from("t"),
        name: name.to_string(),
    }
}

fn stage_time(_: u16) -> Duration {
    Duration::from_millis(300)
}

#[test]
fn a_delayable_stage_starts_in_time_for_the_end_of_the_longest_path() {
    let now = Instant::now();
    // Stage 0 has no dependencies and no dependents; stages 1, 2 and 3 form a chain.
    let mut graph = StageGraph::new([(2, vec![]), (1, vec![]), (4, vec![1]), (9, vec![2])]);
    let may_delay = |stage| stage == 0;
    assert_eq!(graph.start_ready(now, &stage_time, &may_delay), [1]);
    let wait = graph.time_to_next_start(now, &stage_time).unwrap();
    assert!(wait > Duration::from_millis(300), "{wait:?}");
    graph.finish_stage(1, vec![result("a")]);
    assert_eq!(graph.start_ready(now, &stage_time, &may_delay), [2]);
    graph.finish_stage(2, vec![result("b")]);
    let mut started = graph.start_ready(now, &stage_time, &may_delay);
    started.sort_unstable();
    assert_eq!(started, [0, 3]);
}

#[test]
fn results_count_as_read_once_all_dependent_stages_have_fetched_them() {
    let mut graph = StageGraph::new([(1, vec![]), (1, vec![0]), (1, vec![0])]);
    graph.finish_stage(0, vec![result("a")]);
    assert!(!graph.are_results_read(0));
    graph.record_inputs_read(1);
    assert!(!graph.are_results_read(0), "stage 2 has not fetched them");
    graph.record_inputs_read(2);
    assert!(graph.are_results_read(0));
    assert!(!graph.are_results_read(1), "the request itself needs them");
}

#[test]
fn stages_without_pieces_are_skipped() {
    let now = Instant::now();
    let mut graph = StageGraph::new([(0, vec![]), (2, vec![])]);
    assert_eq!(graph.start_ready(now, &stage_time, &|_| false), [1]);
    graph.finish_stage(1, vec![result("a"), result("b")]);
    assert!(graph.is_done());
    assert_eq!(graph.final_results().len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every graph whose stages depend on earlier ones only runs to its end; each stage starts once
    /// and after those that it depends on.
    #[test]
    fn every_acyclic_graph_runs_to_its_end(
        stages in prop::collection::vec((0_u16..4, prop::collection::vec(any::<u16>(), 0..3)), 1..7),
        delayable in any::<u8>(),
    ) {
        let stages: Vec<(u16, Vec<u16>)> = (0_u16..).zip(stages).map(|(stage, (pieces, needed))| {
            let dependencies = needed
                .into_iter()
                .filter(|_| stage > 0)
                .map(|needed| needed % stage.max(1));
            (pieces, dependencies.collect())
        }).collect();
        let mut graph = StageGraph::new(stages.clone());
        let mut now = Instant::now();
        let may_delay = |stage: u16| delayable & (1 << stage) != 0;
        let mut is_finished = vec![false; stages.len()];
        for _ in 0..100 {
            if graph.is_done() {
                break;
            }
            let started = graph.start_ready(now, &stage_time, &may_delay);
            if started.is_empty() {
                now += graph
                    .time_to_next_start(now, &stage_time)
                    .unwrap_or(Duration::from_millis(1));
            }
            for stage in started {
                let (pieces, dependencies) = &stages[usize::from(stage)];
                prop_assert!(!is_finished[usize::from(stage)]);
                for needed in dependencies {
                    prop_assert!(
                        is_finished[usize::from(*needed)] || stages[usize::from(*needed)].0 == 0
                    );
                }
                is_finished[usize::from(stage)] = true;
                let results = (0..*pieces).map(|_| result("x")).collect();
                graph.finish_stage(stage, results);
            }
        }
        prop_assert!(graph.is_done());
    }
}

/// Stages that name themselves, later ones, ones that do not exist, and each other.
#[test]
fn stages_that_need_each_other_do_not_end_the_process() {
    let now = Instant::now();
    let all: Vec<u16> = (0..40).collect();
    let odd_graphs = [
        vec![(1, vec![0])],
        vec![(1, vec![1]), (1, vec![0])],
        vec![(1, vec![2]), (1, vec![0]), (1, vec![1, 7])],
        all.iter().map(|_| (1, all.clone())).collect(),
    ];
    for stages in odd_graphs {
        let mut graph = StageGraph::new(stages);
        assert!(graph.time_after(0, &stage_time) >= stage_time(0));
        assert_eq!(graph.start_ready(now, &stage_time, &|_| true), [0_u16; 0]);
        assert!(!graph.is_done());
    }
}

/// The time of the longest of many chains is found without following each of them.
#[test]
fn long_chains_with_many_branches_are_followed_in_time() {
    let stages = (0..60_u16).map(|stage| (1, (0..stage).collect()));
    let graph = StageGraph::new(stages);
    assert_eq!(graph.time_after(0, &stage_time), stage_time(0) * 59);
}
