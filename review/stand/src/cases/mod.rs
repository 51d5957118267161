//! The cases, one for each script.

mod foreign_refusal;
mod late_pieces;
mod no_keys_left;
mod slow_answer_at_stop;
mod unseen_version;
mod wide_watch;

use {crate::run_record::RunRecord, std::io};

/// Outcome of a case.
pub enum CaseEnd {
    /// The rule held.
    Held,
    /// The rule was broken; says how.
    Broken(String),
}

impl CaseEnd {
    /// Returns the outcome, given what broke the rule.
    pub fn judge(faults: &[String]) -> Self {
        match faults {
            [] => Self::Held,
            [first, ..] => Self::Broken(format!("{} times, first: {first}", faults.len())),
        }
    }
}

/// Runs a case by its name.
///
/// # Errors
///
/// Fails if the case could not run.
pub fn run(case: &str, record: &RunRecord, has_trouble: bool) -> io::Result<CaseEnd> {
    match case {
        "foreign-refusal" => foreign_refusal::run(record, has_trouble),
        "late-pieces" => late_pieces::run(record, has_trouble),
        "no-keys-left" => no_keys_left::run(record, has_trouble),
        "slow-answer-at-stop" => slow_answer_at_stop::run(record, has_trouble),
        "unseen-version" => unseen_version::run(record, has_trouble),
        "wide-watch" => wide_watch::run(record, has_trouble),
        _ => Err(io::Error::other(format!("unknown case {case}"))),
    }
}
