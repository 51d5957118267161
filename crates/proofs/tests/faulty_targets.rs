//! Guards against what faulty targets send to `camphor-entry`: answers that are not whole, or are none, must reach no
//! caller, bytes without end must take bounded memory, and a silent engine loses no stream.

use {
    base::{
        ATTEMPT_HEADER, AnswerDigest, CUSTOMER_HEADER, CallIdentity, DIGEST_HEADER, FailureReport,
        LENGTH_HEADER, REQUEST_HEADER, RunVerdict, STAGE_HEADER, StreamEvent,
    },
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    sheet::{PoolKind, TargetRow},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that the kernel keeps of what arrives at a target, so that a long upload waits at its sender.
const RECEIVE_BYTES: u32 = 16 * 1024;
/// More than the kernel takes of an upload that nobody reads.
const UPLOAD_BYTES: usize = 3_000_000;
const BODY: &[u8] = b"whole answer";
/// Number of bytes of an endless answer after which a target that was not stopped has failed.
const ENDLESS_LIMIT: usize = 64 * 1024 * 1024;
/// Number of requests at once to targets that send without end.
const CALLERS_AT_ONCE: usize = 60;
/// Time that their callers wait.
const ENDLESS_DEADLINE: Duration = Duration::from_millis(2_500);
/// Memory that the entry may use.
const MEMORY_MB: u32 = 120;

/// Head of a sound answer in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\n{sound}\r\ntransfer-encoding: chunked\r\n\r\n";
/// A chunk of 1,024 bytes, which are no line.
const LONG_CHUNK: &[u8] = &long_chunk();
/// Head of an answer in chunks that states a long body.
const LONG: &str = "HTTP/1.1 200 OK\r\n{long}{sound}\r\ntransfer-encoding: chunked\r\n\r\n";
/// Length of the longest answer that the entry takes.
const LONG_BYTES: usize = 16 * 1024 * 1024;

/// What a target does with a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// A sound answer.
    None,
    /// An answer without a length that breaks off after a part, reset or ended in order, while the upload is
    /// under way.
    Partial { is_reset: bool },
    /// A sound answer but for its status.
    Status(&'static str),
    /// The head, with the lines of a sound one at `{sound}`, and then the same bytes without end. With `{long}` it
    /// states the longest body that is allowed.
    Endless {
        head: &'static str,
        bytes: &'static [u8],
    },
    /// This many bytes of the head of a sound answer, which is not sent whole, and then the end of the
    /// connection.
    CutHead {
        sent_bytes: usize,
        is_chunked: bool,
        is_reset: bool,
    },
    /// Three tokens; from the call that goes on after them on, this many bytes of a head.
    ThenCutHead { sent_bytes: usize },
    /// Three tokens, and then nothing for this time, or the end of the connection.
    Stream { pause: Option<Duration> },
    /// Three tokens; from the call that goes on after them on, this text with this status.
    ThenText {
        status: &'static str,
        text: &'static str,
    },
}

/// Fake of a target.
struct RawTarget {
    address: SocketAddr,
    fault: Cell<Fault>,
    calls: Cell<usize>,
    resumed_calls: Cell<usize>,
    /// Bytes that were sent of answers that never end, of each such call.
    endless_bytes: RefCell<Vec<usize>>,
}

impl RawTarget {
    fn start() -> Rc<Self> {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(256).unwrap();
        let target = Rc::new(Self {
            address: listener.local_addr().unwrap(),
            fault: Cell::new(Fault::None),
            calls: Cell::new(0),
            resumed_calls: Cell::new(0),
            endless_bytes: RefCell::default(),
        });
        let serving = Rc::clone(&target);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = Rc::clone(&serving);
                actix_rt::spawn(async move {
                    let _ = serving.serve(stream).await;
                });
            }
        });
        target
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        let end = loop {
            if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        self.calls.set(self.calls.get() + 1);
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        let rest = length.saturating_sub(bytes.len() - end - 4);
        match self.fault.get() {
            Fault::None => {
                drain(&mut stream, rest).await;
                stream.write_all(&sound_answer(&head, "200 OK")).await?;
            }
            Fault::Status(status) => {
                drain(&mut stream, rest).await;
                stream.write_all(&sound_answer(&head, status)).await?;
            }
            Fault::Partial { is_reset } => {
                let text = format!("HTTP/1.1 200 OK\r\n{}\r\n\r\nwhole", sound_head(&head));
                stream.write_all(text.as_bytes()).await?;
                if is_reset {
                    actix_rt::time::sleep(Duration::from_millis(30)).await;
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                    return Ok(());
                }
                stream.shutdown().await?;
                actix_rt::time::sleep(Duration::from_millis(500)).await;
                drain(&mut stream, rest).await;
            }
            Fault::CutHead {
                sent_bytes,
                is_chunked,
                is_reset,
            } => {
                drain(&mut stream, rest).await;
                send_cut_head(&mut stream, &head, sent_bytes, is_chunked).await?;
                if is_reset {
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                }
            }
            Fault::ThenCutHead { sent_bytes } => {
                drain(&mut stream, rest).await;
                if header(&head, "x-camphor-resume-at").is_empty() {
                    self.answer_stream(&mut stream, &head, None).await?;
                    return Ok(());
                }
                self.resumed_calls.set(self.resumed_calls.get() + 1);
                send_cut_head(&mut stream, &head, sent_bytes, true).await?;
            }
            Fault::Endless { head: text, bytes } => {
                let text = text.replace("{sound}", &sound_head(&head));
                let length = format!("{LENGTH_HEADER}: {}", AnswerDigest::of(BODY).length());
                let long = format!("{LENGTH_HEADER}: {LONG_BYTES}");
                let text = match text.contains("{long}") {
                    true => text.replace("{long}", "").replace(&length, &long),
                    false => text,
                };
                let sent = send_endlessly(&mut stream, &text, bytes).await;
                self.endless_bytes.borrow_mut().push(sent);
            }
            Fault::Stream { pause } => {
                drain(&mut stream, rest).await;
                self.answer_stream(&mut stream, &head, pause).await?;
            }
            Fault::ThenText { status, text } => {
                drain(&mut stream, rest).await;
                if header(&head, "x-camphor-resume-at").is_empty() {
                    self.answer_stream(&mut stream, &head, None).await?;
                    return Ok(());
                }
                self.resumed_calls.set(self.resumed_calls.get() + 1);
                let length = text.len();
                let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{text}");
                stream.write_all(text.as_bytes()).await?;
            }
        }
        Ok(())
    }

    /// Streams three tokens; the rest and the end only after a pause, if there is one.
    async fn answer_stream(
        &self,
        stream: &mut TcpStream,
        head: &str,
        pause: Option<Duration>,
    ) -> std::io::Result<()> {
        let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(start).await?;
        let call = identity(head);
        write_event(stream, &StreamEvent::Begin { call }).await?;
        for index in 0..3 {
            write_event(stream, &token(index)).await?;
        }
        let Some(pause) = pause else {
            // Without it the reset could overtake the bytes.
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            return socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        };
        actix_rt::time::sleep(pause).await;
        write_event(stream, &token(3)).await?;
        let text = (0..4).map(|index| format!("t{index} ")).collect::<String>();
        let digest = AnswerDigest::of(text.as_bytes());
        let end = StreamEvent::End {
            tokens: 4,
            length: digest.length(),
            digest: digest.hex(),
        };
        write_event(stream, &end).await?;
        stream.write_all(b"0\r\n\r\n").await
    }
}

fn token(index: u64) -> StreamEvent {
    StreamEvent::Token {
        index,
        text: format!("t{index} "),
    }
}

async fn write_event(stream: &mut TcpStream, event: &StreamEvent) -> std::io::Result<()> {
    let line = event.to_line();
    let size = format!("{:x}\r\n", line.len());
    let chunk = [size.as_bytes(), &line, b"\r\n"].concat();
    stream.write_all(&chunk).await
}

fn header(head: &str, name: &str) -> String {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    field.map_or(String::new(), |(_, value)| value.trim().to_string())
}

fn identity(head: &str) -> CallIdentity {
    CallIdentity {
        customer: header(head, CUSTOMER_HEADER),
        request: header(head, REQUEST_HEADER),
        stage: header(head, STAGE_HEADER).parse().unwrap(),
        attempt: header(head, ATTEMPT_HEADER).parse().unwrap(),
    }
}

/// Returns the header lines of a sound answer, which has no length of its own.
fn sound_head(head: &str) -> String {
    let echoed = [
        CUSTOMER_HEADER,
        REQUEST_HEADER,
        STAGE_HEADER,
        ATTEMPT_HEADER,
    ];
    let echoed = echoed.map(|name| format!("{name}: {}\r\n", header(head, name)));
    let digest = AnswerDigest::of(BODY);
    let (length, hex) = (digest.length(), digest.hex());
    let own = format!("{LENGTH_HEADER}: {length}\r\n{DIGEST_HEADER}: {hex}\r\nconnection: close");
    echoed.concat() + &own
}

/// Returns the head of a sound answer to a call with this head.
fn answer_head(head: &str, is_chunked: bool) -> String {
    let framing = match is_chunked {
        true => String::from("transfer-encoding: chunked"),
        false => format!("content-length: {}", BODY.len()),
    };
    format!(
        "HTTP/1.1 200 OK\r\n{framing}\r\n{}\r\n\r\n",
        sound_head(head)
    )
}

/// Sends this many bytes of the head of a sound answer, and not the last one.
async fn send_cut_head(
    stream: &mut TcpStream,
    head: &str,
    sent_bytes: usize,
    is_chunked: bool,
) -> std::io::Result<()> {
    let text = answer_head(head, is_chunked);
    let sent_bytes = sent_bytes.min(text.len() - 1);
    stream.write_all(&text.as_bytes()[..sent_bytes]).await
}

fn sound_answer(head: &str, status: &str) -> Vec<u8> {
    let text = format!(
        "HTTP/1.1 {status}\r\n{}\r\ncontent-length: {}\r\n\r\n",
        sound_head(head),
        BODY.len()
    );
    [text.as_bytes(), BODY].concat()
}

const fn long_chunk() -> [u8; 1_031] {
    let mut chunk = [b'm'; 1_031];
    let size = *b"400\r\n";
    let mut at = 0;
    while at < size.len() {
        chunk[at] = size[at];
        at += 1;
    }
    chunk[1_029] = b'\r';
    chunk[1_030] = b'\n';
    chunk
}

async fn drain(stream: &mut TcpStream, mut rest: usize) {
    let mut bytes = [0; 8_192];
    while rest > 0 {
        let wanted = rest.min(bytes.len());
        match stream.read(&mut bytes[..wanted]).await {
            Ok(count @ 1..) => rest -= count,
            _ => return,
        }
    }
}

/// Sends the head and then the same bytes until the other side closes, or until the limit.
async fn send_endlessly(stream: &mut TcpStream, head: &str, bytes: &[u8]) -> usize {
    let block = bytes.repeat(16 * 1024 / bytes.len());
    let mut sent = 0;
    let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
    while is_open && sent < ENDLESS_LIMIT {
        is_open = stream.write_all(&block).await.is_ok();
        sent += block.len();
        // The callers run on the same thread.
        actix_rt::time::sleep(Duration::from_micros(100)).await;
    }
    sent
}

/// A fleet of one entry and raw targets: one of a plain pool, two of an engine pool.
struct FaultyFleet {
    fleet: FleetHarness,
    plain: Rc<RawTarget>,
    engines: [Rc<RawTarget>; 2],
    entry: String,
}

impl FaultyFleet {
    async fn start() -> Self {
        let mut plan = FleetPlan::new(1)
            .pool("encode", PoolKind::Plain, &[])
            .pool("model", PoolKind::Engine, &[])
            .pipeline("look", &[("encode", "encode")])
            .pipeline("say", &[("model", "generate")])
            .customer("farm", 1)
            .target("encode0", "encode", 8, &[])
            .target("model0", "model", 8, &[]);
        plan.entries[0].memory_mb = Some(MEMORY_MB);
        let mut fleet = FleetHarness::start(plan).await.unwrap();
        let plain = RawTarget::start();
        let engines = [RawTarget::start(), RawTarget::start()];
        let targets = [
            ("encode", &plain),
            ("model", &engines[0]),
            ("model", &engines[1]),
        ];
        let rows = targets.into_iter().enumerate();
        let rows: Vec<TargetRow> = rows
            .map(|(number, (pool, target))| TargetRow {
                name: format!("raw{number}"),
                pool: pool.to_string(),
                data_centre: String::from("north"),
                address: target.address.to_string(),
                capacity: 200,
                leaving: false,
                models: Vec::new(),
                checks_orders: false,
            })
            .collect();
        // They take the place of the stand-ins.
        fleet.publish(|part| part.target = rows).await.unwrap();
        let entry = fleet.caller_address("h1");
        let faulty = Self {
            fleet,
            plain,
            engines,
            entry,
        };
        faulty.wait_until_served().await;
        faulty
    }

    /// Waits until a request to the plain target is answered whole.
    async fn wait_until_served(&self) {
        let last = RefCell::new(None);
        let served = wait_until("requests are served", WAIT_TIMEOUT, async || {
            let outcome = self.look("sound", b"hay").await;
            let is_served = outcome.complete_answer() == Some(BODY);
            last.replace(Some(outcome));
            is_served
        });
        assert!(served.await.is_ok(), "{last:?}");
    }

    async fn look(&self, id: &str, input: &[u8]) -> RunOutcome {
        let request = RunRequest::new("farm", "look", id, input);
        TestCaller::new().run(&self.entry, &request).await
    }

    async fn say(&self, id: &str) -> RunOutcome {
        let request = RunRequest::new("farm", "say", id, b"hay").streamed();
        TestCaller::new().run(&self.entry, &request).await
    }

    /// Returns the largest resident memory that the entry has used, in KiB.
    fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.fleet.process("h1").id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let digits = line.unwrap().trim().trim_end_matches(" kB");
        digits.parse().unwrap()
    }
}

fn may_have_run(report: &FailureReport) -> bool {
    report.verdict != RunVerdict::NotRun
}

#[actix_rt::test]
async fn an_answer_that_breaks_off_is_not_whole() {
    let faulty = FaultyFleet::start().await;
    let upload = vec![b'u'; UPLOAD_BYTES];
    for is_reset in [true, false] {
        for input in [&b"hay"[..], &upload] {
            faulty.plain.fault.set(Fault::Partial { is_reset });
            let id = format!("{is_reset}-{}", input.len());
            let outcome = faulty.look(&id, input).await;
            let report = outcome.failure();
            assert!(report.is_some_and(may_have_run), "{is_reset}: {outcome:?}");
        }
    }
}

/// Length of heads from which on nothing is added here.
const HEAD_BYTES: usize = 330;

/// Guards against an answer that ends in its head and reaches a caller as a whole one.
#[actix_rt::test]
async fn an_answer_that_ends_in_its_head_is_not_whole() {
    let faulty = FaultyFleet::start().await;
    for is_chunked in [false, true] {
        for is_reset in [false, true] {
            let step = if is_reset { 23 } else { 5 };
            for sent_bytes in (0..HEAD_BYTES).step_by(step) {
                let fault = Fault::CutHead {
                    sent_bytes,
                    is_chunked,
                    is_reset,
                };
                faulty.plain.fault.set(fault);
                for engine in &faulty.engines {
                    engine.fault.set(fault);
                }
                let id = format!("{is_chunked}-{is_reset}-{sent_bytes}");
                let ids = [format!("l-{id}"), format!("s-{id}")];
                let (look, say) =
                    futures_util::future::join(faulty.look(&ids[0], b"hay"), faulty.say(&ids[1]))
                        .await;
                for outcome in [look, say] {
                    assert!(
                        outcome.complete_answer().is_none(),
                        "{fault:?}: {outcome:?}"
                    );
                    assert!(outcome.failure().is_some(), "{fault:?}: {outcome:?}");
                }
            }
        }
    }
    assert!(faulty.plain.calls.get() > 50, "the target was called");
}

/// The first engine breaks off, and the one that should go on ends in its head.
#[actix_rt::test]
async fn a_stream_whose_next_answer_ends_in_its_head_is_not_whole() {
    let faulty = FaultyFleet::start().await;
    for sent_bytes in (0..HEAD_BYTES).step_by(13) {
        let fault = Fault::ThenCutHead { sent_bytes };
        for engine in &faulty.engines {
            engine.fault.set(fault);
        }
        let outcome = faulty.say(&format!("s{sent_bytes}")).await;
        assert!(
            outcome.failure().is_some_and(may_have_run),
            "{fault:?}: {outcome:?}"
        );
    }
    let resumed = faulty.engines.iter();
    let resumed = resumed.map(|engine| engine.resumed_calls.get());
    assert!(resumed.sum::<usize>() > 10, "streams went on");
}

#[actix_rt::test]
async fn an_answer_whose_status_is_none_reaches_no_caller() {
    let faulty = FaultyFleet::start().await;
    for status in [
        "000 A", "099 A", "101 A", "600 A", "999 A", "500 A", "204 A",
    ] {
        faulty.plain.fault.set(Fault::Status(status));
        let outcome = faulty.look(status, b"hay").await;
        assert!(
            outcome.failure().is_some_and(may_have_run),
            "{status}: {outcome:?}"
        );
    }
}

/// The first engine breaks off, and the one that should go on answers with an error or with anything.
#[actix_rt::test]
async fn nothing_of_an_odd_answer_gets_into_a_stream() {
    let faulty = FaultyFleet::start().await;
    let line = "{\"event\":\"token\",\"index\":3,\"text\":\"error\"}\n";
    let end = "{\"event\":\"end\",\"tokens\":3,\"length\":9,\"digest\":\"0\"}\n";
    let answers = [
        ("500 Oops", "error\n"),
        ("200 OK", "error\n"),
        ("200 OK", ""),
        ("200 OK", line),
        ("200 OK", end),
        ("200 OK", "HTTP/1.1 500 Oops\r\n\r\nerror\n"),
        ("999 Oops", line),
    ];
    for (number, (status, text)) in answers.into_iter().enumerate() {
        for engine in &faulty.engines {
            engine.fault.set(Fault::ThenText { status, text });
        }
        let outcome = faulty.say(&format!("s{number}")).await;
        // The caller parses its stream, so any other byte would break it.
        assert!(
            outcome.failure().is_some_and(may_have_run),
            "{text}: {outcome:?}"
        );
    }
    let resumed = faulty
        .engines
        .iter()
        .map(|engine| engine.resumed_calls.get());
    assert!(resumed.sum::<usize>() >= answers.len());
}

#[actix_rt::test]
async fn a_silent_engine_keeps_its_stream() {
    let faulty = FaultyFleet::start().await;
    for engine in &faulty.engines {
        let pause = Some(Duration::from_millis(2_500));
        engine.fault.set(Fault::Stream { pause });
    }
    let says = ["s1", "s2", "s3"].map(|id| faulty.say(id));
    for outcome in futures_util::future::join_all(says).await {
        let answer = outcome.complete_answer();
        assert_eq!(answer, Some(&b"t0 t1 t2 t3 "[..]), "{outcome:?}");
    }
    let calls = faulty.engines.iter().map(|engine| engine.calls.get());
    assert_eq!(calls.sum::<usize>(), 3);
}

/// Sends requests to targets whose answers never end; others are served beside them and after them.
async fn assert_bounded(head: &'static str, bytes: &'static [u8]) {
    let faulty = FaultyFleet::start().await;
    for target in faulty.engines.iter().chain([&faulty.plain]) {
        target.fault.set(Fault::Endless { head, bytes });
    }
    let entry = &faulty.entry;
    let sends = (0..CALLERS_AT_ONCE).map(|number| async move {
        let pipeline = if number % 2 == 0 { "look" } else { "say" };
        let request = RunRequest::new("farm", pipeline, format!("r{number}"), b"hay");
        let request = request.within(ENDLESS_DEADLINE);
        TestCaller::new().run(entry, &request).await
    });
    for outcome in futures_util::future::join_all(sends).await {
        let report = outcome.failure();
        assert!(report.is_some(), "{head}: {outcome:?}");
    }
    let memory = faulty.peak_memory();
    println!("{head:?}: {memory} KiB");
    assert!(
        memory < u64::from(MEMORY_MB) * 1_000,
        "{head:?} took {memory} KiB"
    );
    for target in faulty.engines.iter().chain([&faulty.plain]) {
        target.fault.set(Fault::None);
    }
    faulty.wait_until_served().await;
}

#[actix_rt::test]
async fn endless_heads_take_bounded_memory() {
    assert_bounded("HTTP/1.1 200 OK\r\n{sound}\r\n", b"x-more: 1\r\n").await;
    assert_bounded("HTTP/1.1 200 OK\r\n{sound}\r\nx-long: ", b"x").await;
    assert_bounded("", b"noise").await;
    assert_bounded("", b"HTTP/1.1 100 Continue\r\n\r\n").await;
}

#[actix_rt::test]
async fn endless_bodies_take_bounded_memory() {
    assert_bounded("HTTP/1.1 200 OK\r\n{sound}\r\n\r\n", b"more").await;
    assert_bounded(CHUNKED, b"4\r\nmore\r\n").await;
    assert_bounded(CHUNKED, LONG_CHUNK).await;
    assert_bounded(LONG, LONG_CHUNK).await;
}

#[actix_rt::test]
async fn endless_parts_of_chunks_take_bounded_memory() {
    assert_bounded(
        concat!(
            "HTTP/1.1 200 OK\r\n{sound}\r\ntransfer-encoding: chunked\r\n\r\n",
            "4;"
        ),
        b"x",
    )
    .await;
    assert_bounded(
        concat!(
            "HTTP/1.1 200 OK\r\n{sound}\r\ntransfer-encoding: chunked\r\n\r\n",
            "1\r\nx\r\n0\r\n"
        ),
        b"x-more: 1\r\n",
    )
    .await;
}
