//! Stand-ins and drivers of the second review's scripts.
//!
//! Started as `review-stand-2 CASE FOLDER ROOT SCRATCH`. Exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod case_setup;
mod cases;
mod edge_process;
mod http_text;
mod plan_text;
mod run_record;
mod stage_replica;
mod stand_replica;
mod stand_store;
mod test_caller;

use {
    case_setup::{CaseFleet, CaseSettings, CaseVerdict},
    std::{env, io, path::PathBuf, process::ExitCode},
};

const BROKEN_CODE: u8 = 1;
const UNABLE_CODE: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(CaseVerdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(CaseVerdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(BROKEN_CODE)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(UNABLE_CODE)
        }
    }
}

fn run() -> io::Result<CaseVerdict> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, root, scratch] = arguments.as_slice() else {
        return Err(io::Error::other("needs CASE FOLDER ROOT SCRATCH"));
    };
    let settings = CaseSettings {
        root: PathBuf::from(root),
        scratch: PathBuf::from(scratch),
        has_trouble: env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    };
    let folder = PathBuf::from(folder);
    let fleet = |edges| CaseFleet::start(settings, &folder, edges);
    match case.as_str() {
        "moved-route" => cases::moved_route::run(&fleet(2)?),
        "older-copy-start" => cases::older_copy_start::run(&fleet(2)?),
        "late-stream" => cases::late_stream::run(&fleet(2)?),
        "silence-after-restart" => cases::silence_after_restart::run(&fleet(2)?),
        "reused-address" => cases::reused_address::run(&fleet(2)?),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}
