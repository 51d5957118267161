//! The command line of the entry daemon: what it says and how it exits.

use std::{
    fs,
    net::TcpListener,
    process::{Command, Output},
};

const SETTINGS: &str = r#"
host = "h1"
data_centre = "north"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"

[platform]
address = "127.0.0.1:9"

[peers]
key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
"#;

/// Runs the daemon with these settings; it must end by itself.
fn run(settings: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    command.arg("--settings").arg(&path).output().unwrap()
}

/// The one line that the daemon gave as its reason.
fn reason(output: &Output) -> String {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    text
}

#[test]
fn help_names_every_option() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    let output = command.arg("--help").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.contains("--settings"), "{text}");
}

#[test]
fn unknown_key_is_named_with_its_line() {
    let output = run(&SETTINGS.replace("key =", "keyy = 1\nkey ="));
    assert_eq!(output.status.code(), Some(2));
    let reason = reason(&output);
    assert!(reason.contains("entry.toml:14: `keyy`"), "{reason}");
    assert!(reason.contains("expected"), "{reason}");
}

#[test]
fn wrong_value_says_what_would_be_right() {
    let output = run(&SETTINGS.replace("0123456789abcdef0123", "xyz"));
    assert_eq!(output.status.code(), Some(2));
    let reason = reason(&output);
    assert!(
        reason.contains("`peers.key`: should be 64 hexadecimal digits"),
        "{reason}"
    );
}

#[test]
fn addresses_that_nobody_can_connect_to_are_refused() {
    for key in ["callers", "peers"] {
        let good = format!("{key} = \"127.0.0.1:0\"");
        let output = run(&SETTINGS.replace(&good, &format!("{key} = \"0.0.0.0:0\"")));
        assert_eq!(output.status.code(), Some(2));
        let reason = reason(&output);
        assert!(reason.contains(&format!("`listen.{key}`")), "{reason}");
    }
}

#[test]
fn missing_file_is_a_settings_fault() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    let output = command
        .args(["--settings", "no-such-file.toml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(reason(&output).contains("no-such-file.toml"));
}

#[test]
fn address_in_use_exits_with_one() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = run(&SETTINGS.replace(
        "callers = \"127.0.0.1:0\"",
        &format!("callers = \"{address}\""),
    ));
    assert_eq!(output.status.code(), Some(1));
    let reason = reason(&output);
    assert!(
        reason.contains("listen.callers") && reason.contains(&address),
        "{reason}"
    );
}
