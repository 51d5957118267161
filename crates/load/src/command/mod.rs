//! One module for each subcommand.

mod bench;
mod publish;
mod report;
mod run;
mod topology;

pub use {
    bench::{BenchArgs, bench},
    publish::{PublishArgs, publish},
    report::{ReportArgs, report},
    run::{RunArgs, run},
    topology::{TopologyArgs, topology},
};
