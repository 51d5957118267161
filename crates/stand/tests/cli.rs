//! The command line of the stand-ins.

use std::process::Command;

fn status_of(arguments: &[&str]) -> (bool, String) {
    let program = env!("CARGO_BIN_EXE_camphor-stand");
    let output = Command::new(program).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.success(), text)
}

#[test]
fn help_names_every_stand_in() {
    let (success, text) = status_of(&["--help"]);
    assert!(success);
    for command in ["platform", "plain", "engine", "proxy"] {
        assert!(text.contains(command), "no `{command}` in {text}");
    }
}

#[test]
fn bad_arguments_are_refused() {
    assert!(!status_of(&[]).0);
    assert!(!status_of(&["unknown"]).0);
    assert!(!status_of(&["plain"]).0, "a name is needed");
    assert!(!status_of(&["plain", "--name", "p", "--slots", "many"]).0);
    assert!(!status_of(&["engine", "--name", "e", "--listen", "nowhere"]).0);
}
