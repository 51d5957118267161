//! Guards against start-up errors of the entry daemon that do not name the cause on one line or do
//! not exit with the right code: 2 for wrong settings, 1 for failures at run time.

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

/// Runs the daemon with these settings until it ends by itself, so they have to be wrong.
fn run_daemon(settings: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    command.arg("--settings").arg(&path).output().unwrap()
}

/// Returns the error message of the daemon, which has to be one line.
fn error_message(output: &Output) -> String {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    text
}

#[test]
fn help_lists_every_option() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    let output = command.arg("--help").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.contains("--settings"), "{text}");
}

#[test]
fn unknown_key_is_named_with_its_line() {
    let output = run_daemon(&SETTINGS.replace("key =", "keyy = 1\nkey ="));
    assert_eq!(output.status.code(), Some(2));
    let message = error_message(&output);
    assert!(message.contains("entry.toml:14: `keyy`"), "{message}");
    assert!(message.contains("expected"), "{message}");
}

#[test]
fn invalid_value_error_states_the_expected_form() {
    let output = run_daemon(&SETTINGS.replace("0123456789abcdef0123", "xyz"));
    assert_eq!(output.status.code(), Some(2));
    let message = error_message(&output);
    assert!(
        message.contains("`peers.key`: should be 64 hexadecimal digits"),
        "{message}"
    );
}

#[test]
fn unspecified_listen_addresses_are_refused() {
    for key in ["callers", "peers"] {
        let valid_line = format!("{key} = \"127.0.0.1:0\"");
        let output = run_daemon(&SETTINGS.replace(&valid_line, &format!("{key} = \"0.0.0.0:0\"")));
        assert_eq!(output.status.code(), Some(2));
        let message = error_message(&output);
        assert!(message.contains(&format!("`listen.{key}`")), "{message}");
    }
}

#[test]
fn missing_settings_file_exits_with_two() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-entry"));
    let output = command
        .args(["--settings", "no-such-file.toml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(error_message(&output).contains("no-such-file.toml"));
}

#[test]
fn address_in_use_exits_with_one() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let output = run_daemon(&SETTINGS.replace(
        "callers = \"127.0.0.1:0\"",
        &format!("callers = \"{address}\""),
    ));
    assert_eq!(output.status.code(), Some(1));
    let message = error_message(&output);
    assert!(
        message.contains("listen.callers") && message.contains(&address),
        "{message}"
    );
}
