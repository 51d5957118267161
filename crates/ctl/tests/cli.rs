//! The command line: output and exit code of each command.

use {
    actix_http::{Method, Request, StatusCode},
    room::ClientRoom,
    serde_json::json,
    setup::{HttpLimits, HttpReply, json_reply, serve_http, text_reply},
    stamp::{EventKind, HybridTime, TimelineEvent},
    std::{
        fs,
        io::{Read, Write},
        path::{Path, PathBuf},
        process::{Command, Output},
        sync::mpsc,
        thread,
    },
    tokio::{net::TcpListener, sync::oneshot},
};

/// Room for the connections of the fake entry.
const ROOM_BYTES: usize = 16_000_000;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorctl"));
    command.args(arguments).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Path of an example sheet.
fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/sheets");
    root.join(name)
}

/// An operators' interface with fixed answers; it stops when it is dropped.
struct FakeEntry {
    address: String,
    _stop: oneshot::Sender<()>,
}

impl FakeEntry {
    /// Starts an entry whose timeline holds these events.
    fn start(events: Vec<TimelineEvent>) -> Self {
        let (stop, stopped) = oneshot::channel::<()>();
        let (address_sender, address_receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                address_sender.send(listener.local_addr().unwrap()).unwrap();
                let handler = move |request| answer(request, events.clone());
                // No sender is left to set `closing` to true, so the server does not close by
                // itself; `stopped` ends it.
                let (_, closing) = tokio::sync::watch::channel(false);
                let room = ClientRoom::new(ROOM_BYTES);
                tokio::select! {
                    () = serve_http(listener, HttpLimits::default(), room, closing, handler) => {}
                    _ = stopped => {}
                }
            });
        });
        Self {
            address: address_receiver.recv().unwrap().to_string(),
            _stop: stop,
        }
    }
}

async fn answer(request: Request, events: Vec<TimelineEvent>) -> HttpReply {
    let status = json!({ "host": "h1", "hosts": ["h1", "h2"], "counters": { "requests": 7 } });
    match (request.method().clone(), request.path()) {
        (Method::GET, "/status") | (Method::POST, "/drain" | "/targets/ledger-1/leaving") => {
            json_reply(StatusCode::OK, &status)
        }
        (Method::GET, "/timeline") => json_reply(StatusCode::OK, &events),
        _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
    }
}

#[test]
fn every_command_has_help() {
    for command in ["check", "index", "status", "drain", "timeline"] {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{command}");
        assert!(stdout(&output).contains("Usage: camphorctl"), "{command}");
    }
    assert!(stdout(&run(&["--help"])).contains("timeline"));
}

#[test]
fn example_sheets_and_their_indexes_pass_the_check() {
    for name in ["furrowline", "tamarind"] {
        let source = example(name);
        let path = source.to_str().unwrap();
        let output = run(&["check", "--sheet", path]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(stdout(&output).contains("5 customers, 5 pools, 26 targets"));

        let index = run(&["index", "--sheet", path, "--version", "12"]);
        let folder = tempfile::tempdir().unwrap();
        for file in fs::read_dir(&source).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), folder.path().join(file.file_name())).unwrap();
        }
        let file = folder.path().join("index.toml");
        fs::write(&file, stdout(&index)).unwrap();
        let output = run(&["check", "--sheet", file.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(stdout(&output).contains("version 12"));
    }
}

#[test]
fn every_error_of_an_invalid_sheet_is_listed() {
    let folder = tempfile::tempdir().unwrap();
    let source = example("furrowline");
    for file in fs::read_dir(&source).unwrap() {
        let file = file.unwrap();
        let text = fs::read_to_string(file.path()).unwrap();
        let text = text
            .replacen("weight = 8", "weight = 0", 1)
            .replacen("name = \"ledger\"\nkind", "name = \"ledgers\"\nkind", 1)
            .replacen("deadline = \"3s\"", "deadline = \"3s\"\nowner = 1", 1);
        fs::write(folder.path().join(file.file_name()), text).unwrap();
    }
    let output = run(&["check", "--sheet", folder.path().to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let error_list = stderr(&output);
    for error in [
        "sheet/2-pipelines:6: pipeline.owner:",
        "sheet/3-customers:5: customer.weight:",
        "sheet/1-pools:8: pool.name:",
        "pipeline.stage.pool: no pool is named `ledger`",
        "target.pool: no pool is named `ledger`",
    ] {
        assert!(
            error_list.contains(error),
            "{error} is not in\n{error_list}"
        );
    }
    // The last line is the summary.
    let error_count = error_list.lines().count() - 1;
    assert!(
        error_list.contains(&format!("refused, {error_count} errors")),
        "{error_list}"
    );
}

#[test]
fn invalid_settings_are_refused_with_key_and_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    let key = "ab".repeat(32);
    let valid_settings = format!(
        "host = \"h1\"\ndata_centre = \"erie\"\n[listen]\ncallers = \"127.0.0.1:80\"\n\
         peers = \"127.0.0.1:81\"\noperators = \"127.0.0.1:82\"\n\
         [platform]\naddress = \"127.0.0.1:90\"\n[peers]\nkey = \"{key}\"\n"
    );
    let file = path.to_str().unwrap();
    let check = |text: &str| {
        fs::write(&path, text).unwrap();
        run(&["check", "--settings", file])
    };
    let output = check(&valid_settings);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    for (old, new, location) in [
        ("127.0.0.1:80", "localhost", ":4: `callers`"),
        ("host = \"h1\"", "hosts = \"h1\"", ":1: `hosts`"),
        (key.as_str(), "short", "`peers.key`"),
    ] {
        let output = check(&valid_settings.replace(old, new));
        assert_eq!(output.status.code(), Some(2), "{new}");
        assert!(stderr(&output).contains(location), "{}", stderr(&output));
        assert_eq!(stderr(&output).lines().count(), 1);
    }
}

#[test]
fn status_is_an_aligned_table_or_json() {
    let entry = FakeEntry::start(Vec::new());
    let table = stdout(&run(&["status", "--entry", &entry.address]));
    let expected = [
        "host               h1",
        "hosts              h1, h2",
        "counters.requests  7",
    ];
    for line in expected {
        assert!(table.lines().any(|row| row == line), "{table}");
    }
    let line = stdout(&run(&["status", "--json", "--entry", &entry.address]));
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["counters"]["requests"], 7);
}

#[test]
fn drain_posts_to_the_entry_and_prints_the_outcome() {
    let entry = FakeEntry::start(Vec::new());
    let output = run(&["drain", "--entry", &entry.address]);
    assert!(
        stdout(&output).contains("is leaving"),
        "{}",
        stderr(&output)
    );
    let known_target_args = ["drain", "--entry", &entry.address, "--target", "ledger-1"];
    assert_eq!(
        stdout(&run(&known_target_args)),
        "target ledger-1 is leaving\n"
    );
    let unknown_target_args = ["drain", "--entry", &entry.address, "--target", "other"];
    let output = run(&unknown_target_args);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("404"), "{}", stderr(&output));
    let invalid_name_args = ["drain", "--entry", &entry.address, "--target", "a/b"];
    assert_eq!(run(&invalid_name_args).status.code(), Some(2));
}

/// Guards against events that are out of order across entries, an id with a space that breaks the
/// query, and one dead entry that hides the events of the others.
#[test]
fn timelines_of_several_entries_are_merged_and_filtered() {
    let event = |second: u64, process: &str, request: &str| {
        let at = HybridTime::new(3_723_000_000 + second * 1_000_000, 4);
        TimelineEvent::new(at, process, EventKind::CallSent).with_request(request)
    };
    let first = FakeEntry::start(vec![event(0, "h1", "r1"), event(2, "h1", "r1")]);
    let second = FakeEntry::start(vec![event(1, "h2", "r1"), event(3, "h2", "r 2")]);
    let both_entries_args = [
        "timeline",
        "--entry",
        &first.address,
        "--entry",
        &second.address,
    ];
    let text = stdout(&run(&both_entries_args));
    let processes: Vec<&str> = text
        .lines()
        .map(|line| line.split(' ').nth(1).unwrap())
        .collect();
    assert_eq!(processes, ["h1", "h2", "h1", "h2"]);
    assert!(
        text.starts_with("01:02:03.000000+4 h1 call_sent request=r1\n"),
        "{text}"
    );

    let filtered = stdout(&run(&[
        &both_entries_args[..],
        &["--json", "--request", "r 2"],
    ]
    .concat()));
    let found: TimelineEvent = serde_json::from_str(filtered.trim()).unwrap();
    assert_eq!(found.process, "h2");

    let dead_and_live_args = [
        "timeline",
        "--entry",
        "127.0.0.1:1",
        "--entry",
        &first.address,
    ];
    // `127.0.0.1:1` is the dead entry: nothing listens at this address.
    let output = run(&dead_and_live_args);
    assert_eq!(stdout(&output).lines().count(), 2);
    assert!(stderr(&output).contains("entry 127.0.0.1:1"));
    // The first three arguments name only the dead entry.
    assert_eq!(run(&dead_and_live_args[..3]).status.code(), Some(1));
    assert_eq!(run(&["timeline"]).status.code(), Some(2));
}

/// Sends the first bytes of the head of an answer to each call, by this number more each time; returns the
/// address.
fn serve_cut_heads(step: usize) -> String {
    const HEAD: &[u8] =
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n";
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4_096];
            let count = stream.read(&mut request).unwrap();
            assert!(count > 0, "a request");
            let sent_bytes = (number * step).min(HEAD.len() - 1);
            stream.write_all(&HEAD[..sent_bytes]).unwrap();
        }
    });
    address
}

/// Guards against an answer that ends in its head and counts as an empty one.
#[test]
fn an_answer_that_ends_in_its_head_is_an_error() {
    for command in ["status", "drain"] {
        let address = serve_cut_heads(6);
        for call in 0..12 {
            let output = run(&[command, "--entry", &address]);
            assert!(!output.status.success(), "{command}, call {call}");
            assert_eq!(stdout(&output), "", "{command}, call {call}");
        }
    }
}
