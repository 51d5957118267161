//! Runs a case of the third review: stand-ins of store, replicas and requesters around processes of
//! `camphor-edge`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod base64;
mod cases;
mod cut_link;
mod edge_process;
mod http_text;
mod run_record;
mod stand_engine;
mod stand_replica;
mod stand_stage;
mod stand_store;
mod test_requester;

use {
    run_record::RunRecord,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Whether the rule of a case held in a run.
pub enum RuleOutcome {
    Held,
    /// Tells how often it was broken.
    Broken(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match RunRecord::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = match case.as_str() {
        "crashing-piece" => cases::crashing_piece(&record, has_trouble),
        "crashing-request" => cases::crashing_request(&record, has_trouble),
        "crashed-replicas" => cases::crashed_replicas(&record, has_trouble),
        "frozen-entry" => cases::frozen_entry(&record, has_trouble),
        "old-copy" => cases::old_copy(&record, has_trouble),
        "removed-replica" => cases::removed_replica(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match outcome {
        Ok(RuleOutcome::Held) => (String::from("the rule held"), 0),
        Ok(RuleOutcome::Broken(text)) => (format!("the rule was broken: {text}"), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.note(&text);
    record.flush();
    println!("{text}");
    ExitCode::from(code)
}
