//! Parts of the open-loop load generator that do no network I/O and read no clock: the arrival
//! schedule, the decisions of a caller, the verification of answers, tallies and reports.

mod address_cache;
mod answer_check;
mod arrival_schedule;
mod arrival_shape;
mod bench_report;
mod latency_histogram;
mod load_report;
mod load_tally;
mod posting_audit;
mod process_registry;
mod request_caller;
mod request_outcome;
mod run_comparison;
mod sheet_template;
mod stage_cost;
mod topology_file;
mod workload_fault;
mod workload_file;

pub use {
    address_cache::{AddressAnswer, AddressCache},
    answer_check::{AnswerCheck, AnswerState},
    arrival_schedule::{ArrivalSchedule, PlannedRequest, ScheduleParameters},
    arrival_shape::ArrivalShape,
    bench_report::{AddedTime, BenchReport, SustainedRate},
    latency_histogram::{LatencyHistogram, LatencySummary},
    load_report::{FaultCount, GroupReport, LoadReport},
    load_tally::{LoadTally, RequestResult},
    posting_audit::PostingAudit,
    process_registry::ProcessRegistry,
    request_caller::{CallerStep, RequestCaller, SendResult},
    request_outcome::{AnswerFault, RequestOutcome},
    run_comparison::RunComparison,
    sheet_template::SheetTemplate,
    stage_cost::{CostTally, StageCost},
    topology_file::{EntrySpec, TargetSpec, TopologyFile},
    workload_fault::WorkloadFault,
    workload_file::{ArrivalFlow, CustomerLoad, PipelineLoad, StageLoad, WorkloadFile},
};
