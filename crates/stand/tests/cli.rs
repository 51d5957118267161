//! Command line of the stand-ins.

use std::process::Command;

/// Runs the program; returns whether it succeeded and what it printed.
fn run(arguments: &[&str]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_camphor-stand");
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.success(), text)
}

#[test]
fn help_names_every_stand_in() {
    let (success, text) = run(&["--help"]);
    assert!(success);
    for command in ["platform", "plain", "engine", "proxy"] {
        assert!(text.contains(command), "no `{command}` in {text}");
    }
}

#[test]
fn invalid_arguments_are_refused() {
    assert!(!run(&[]).0);
    assert!(!run(&["unknown"]).0);
    assert!(!run(&["plain"]).0, "a name is needed");
    assert!(!run(&["plain", "--name", "p", "--slots", "many"]).0);
    assert!(!run(&["engine", "--name", "e", "--listen", "nowhere"]).0);
}
