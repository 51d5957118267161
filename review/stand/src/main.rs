//! Drivers of the review's scripts: each starts the system's own processes with stand-ins around
//! them, brings about one disruption, and judges by what the stand-ins have seen.
//!
//! Usage: `review-stand CASE FOLDER`, from the root of the repository. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod base64;
mod cases;
mod edge_fleet;
mod garble_dose;
mod http_text;
mod link_proxy;
mod plan_text;
mod run_record;
mod slow_link;
mod stand_replica;
mod stand_store;
mod test_caller;

use {
    cases::CaseEnd,
    run_record::RunRecord,
    std::{path::Path, process::ExitCode, thread, time::Duration},
};

/// Exit codes.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-stand CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match RunRecord::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt in {folder}: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("given up after {TIME_LIMIT:?}");
        edge_fleet::kill_all();
        std::process::exit(i32::from(NOT_RUN));
    });
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let outcome = std::panic::catch_unwind(|| cases::run(case, &record, has_trouble));
    edge_fleet::kill_all();
    let (text, code) = match outcome {
        Ok(Ok(CaseEnd::Held)) => (String::from("the rule held"), HELD),
        Ok(Ok(CaseEnd::Broken(what))) => (format!("the rule was broken: {what}"), BROKEN),
        Ok(Err(error)) => (format!("the case could not run: {error}"), NOT_RUN),
        Err(_) => (String::from("the case could not run: a panic"), NOT_RUN),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
