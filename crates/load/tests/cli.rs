//! The command line: help texts, exit codes and messages for wrong files.

use std::{
    fs,
    process::{Command, Output},
};

const VALID_WORKLOAD: &str = r#"name = "test"
duration = "1s"

[[pipeline]]
name = "lookup"
deadline = "1s"
stage = [{ call = "find" }]

[[customer]]
name = "dairy"
credential = "secret"

[[flow]]
pipeline = "lookup"
arrival = { kind = "poisson", rate = 1.0 }
"#;

fn camphor_load(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_camphor-load"))
        .args(args)
        .output()
        .unwrap()
}

fn run_with(workload: &str) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("work.toml");
    fs::write(&path, workload).unwrap();
    let path = path.to_str().unwrap();
    let output = camphor_load(&["run", "--workload", path, "--entry", "127.0.0.1:1"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

/// A subcommand that is not registered is missing from the help.
#[test]
fn help_names_the_subcommands() {
    let output = camphor_load(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    for name in [
        "run", "report", "bench", "publish", "topology", "control", "address",
    ] {
        assert!(text.contains(name), "{name} is missing");
        assert!(camphor_load(&[name, "--help"]).status.success());
    }
}

/// A misspelt key must not be ignored, since the run would silently use the default.
#[test]
fn an_unknown_key_exits_2_with_file_line_and_key() {
    let (code, text) = run_with(&VALID_WORKLOAD.replace("credential", "credentials"));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:11: `credentials`"), "{text}");
}

/// Unknown keys must also be refused in the tagged enum of arrivals, where serde names the table.
#[test]
fn an_unknown_key_of_an_arrival_exits_2() {
    let (code, text) = run_with(&VALID_WORKLOAD.replace("rate = 1.0", "rate = 1.0, rates = 2.0"));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:15: `arrival`"), "{text}");
}

/// A value that does not parse must be reported with its position in the file.
#[test]
fn a_wrong_value_exits_2_with_file_line_and_key() {
    let (code, text) =
        run_with(&VALID_WORKLOAD.replace("deadline = \"1s\"", "deadline = \"soon\""));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:6: `deadline`"), "{text}");
}

/// A flow to a pipeline that is not in the file parses, so only the check after it finds the error.
#[test]
fn a_flow_to_an_unknown_pipeline_exits_2_with_file_line_and_key() {
    let (code, text) =
        run_with(&VALID_WORKLOAD.replace("pipeline = \"lookup\"", "pipeline = \"other\""));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:14: `flow.pipeline`"), "{text}");
    assert_eq!(text.lines().count(), 1);
}

/// A missing file is a settings error, which scripts tell from a failed run by its exit code.
#[test]
fn a_missing_file_exits_2() {
    let output = camphor_load(&["run", "--workload", "/nowhere", "--entry", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2));
}

/// A report that left such requests out would show a dead entry as a run with little load.
#[test]
fn requests_that_reach_no_entry_are_counted_as_unreachable() {
    let directory = tempfile::tempdir().unwrap();
    let workload = directory.path().join("work.toml");
    let text = VALID_WORKLOAD.replace("rate = 1.0", "rate = 20.0");
    fs::write(
        &workload,
        text.replace("deadline = \"1s\"", "deadline = \"100ms\""),
    )
    .unwrap();
    let json = directory.path().join("run.json");
    let (workload, json) = (workload.to_str().unwrap(), json.to_str().unwrap());
    // Nothing listens on port 1 of the loopback interface.
    let entry = "127.0.0.1:1";
    let output = camphor_load(&[
        "run",
        "--workload",
        workload,
        "--entry",
        entry,
        "--json",
        json,
        "--strict",
    ]);
    assert!(output.status.success(), "{output:?}");
    let text = fs::read_to_string(json).unwrap();
    let report: load::LoadReport = serde_json::from_str(&text).unwrap();
    assert!(report.total.requests > 0);
    assert_eq!(report.outcomes["unreachable"], report.total.requests);
    assert_eq!(report.total.attained, 0);
}
