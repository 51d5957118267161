//! The command line: help, and what is said of wrong files.

use std::{
    fs,
    process::{Command, Output},
};

const GOOD: &str = r#"name = "test"
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

#[test]
fn an_unknown_key_exits_2_with_file_line_and_key() {
    let (code, text) = run_with(&GOOD.replace("credential", "credentials"));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:11: `credentials`"), "{text}");
}

#[test]
fn an_unknown_key_of_an_arrival_exits_2() {
    let (code, text) = run_with(&GOOD.replace("rate = 1.0", "rate = 1.0, rates = 2.0"));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:15: `arrival`"), "{text}");
}

#[test]
fn a_wrong_value_exits_2_with_file_line_and_key() {
    let (code, text) = run_with(&GOOD.replace("deadline = \"1s\"", "deadline = \"soon\""));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:6: `deadline`"), "{text}");
}

#[test]
fn a_flow_to_no_pipeline_exits_2_with_file_line_and_key() {
    let (code, text) = run_with(&GOOD.replace("pipeline = \"lookup\"", "pipeline = \"other\""));
    assert_eq!(code, Some(2));
    assert!(text.contains("work.toml:14: `flow.pipeline`"), "{text}");
    assert_eq!(text.lines().count(), 1);
}

#[test]
fn a_missing_file_exits_2() {
    let output = camphor_load(&["run", "--workload", "/nowhere", "--entry", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn requests_that_no_entry_takes_are_counted_and_not_lost_from_the_report() {
    let directory = tempfile::tempdir().unwrap();
    let workload = directory.path().join("work.toml");
    let text = GOOD.replace("rate = 1.0", "rate = 20.0");
    fs::write(
        &workload,
        text.replace("deadline = \"1s\"", "deadline = \"100ms\""),
    )
    .unwrap();
    let json = directory.path().join("run.json");
    let (workload, json) = (workload.to_str().unwrap(), json.to_str().unwrap());
    // Port 1 of loopback is not listened on.
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
