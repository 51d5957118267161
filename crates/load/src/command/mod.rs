//! The subcommands of `camphor-load`, one module each.

mod address;
mod bench;
mod control;
mod publish;
mod report;
mod run;
mod topology;

pub use {
    address::{AddressArgs, address},
    bench::{BenchArgs, bench},
    control::{ControlArgs, control},
    publish::{PublishArgs, publish},
    report::{ReportArgs, report},
    run::{RunArgs, run},
    topology::{TopologyArgs, topology},
};
