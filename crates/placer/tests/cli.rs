//! Command line, settings and operators' interface of the placer process.

mod common;

use {
    common::{FakeFleet, Placer},
    std::{
        fs,
        io::{Read, Write},
        net::TcpStream,
        process::{Command, Output},
        time::{Duration, Instant},
    },
};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphor-placer"));
    command.args(arguments).output().unwrap()
}

/// Sends a GET request to the operators' interface; returns the answer with its head.
fn get_answer(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: h1\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn help_names_the_settings() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("--settings"));
}

#[test]
fn invalid_settings_exit_with_one_line() {
    let valid_settings =
        "host = \"h1\"\nlisten = \"127.0.0.1:0\"\nentry = \"127.0.0.1:1\"\n[orders]\n";
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("placer.toml");
    let cases = [
        ("host = \"h1\"", "host = \"\"", "`host`"),
        ("host = \"h1\"", "hosts = \"h1\"", ":1: `hosts`"),
        ("127.0.0.1:1", "here", ":3: `entry`"),
        ("[orders]", "[orders]\nlease = \"0s\"", "`orders.lease`"),
        ("[orders]", "[orders]\nlease = 3", ":5: `lease`"),
        (
            "[orders]",
            "[orders]\nloads_per_second = 0.0",
            "`orders.loads_per_second`",
        ),
    ];
    for (old, new, location) in cases {
        fs::write(&path, valid_settings.replace(old, new)).unwrap();
        let output = run(&["--settings", path.to_str().unwrap()]);
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(
            line.contains(location) && line.lines().count() == 1,
            "{line}"
        );
        assert!(line.contains("placer.toml"), "{line}");
    }
    let output = run(&["--settings", "/nowhere/placer.toml"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn answers_operators_and_exits_on_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = FakeFleet::start(0, true);
    let mut placer = Placer::start(folder.path(), "h1", &fleet.entry);
    for (path, expected) in [
        ("/status", "\"host\":\"h1\""),
        ("/timeline", "process_started"),
    ] {
        let answer = get_answer(&placer.operators, path);
        assert!(answer.contains(expected), "{answer}");
    }
    placer.signal("TERM");
    let end = Instant::now() + common::WAIT_TIMEOUT;
    let status = loop {
        if let Some(status) = placer.child.try_wait().unwrap() {
            break status;
        }
        assert!(
            Instant::now() < end,
            "the placer did not exit after SIGTERM"
        );
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
}
