use {
    crate::{
        crowd::Crowd,
        process_watch::{ProcessWatch, open_descriptors},
    },
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    std::{net::SocketAddr, time::Duration},
    tokio::sync::{Mutex, MutexGuard},
};

/// Memory that the program may use, in bytes: 400 bodies of the longest length that the settings of the
/// test allow, and 40 MB for the program itself.
const MEMORY_BYTES: u64 = 64_000_000;
/// Settings of the entry: its callers may keep 400 connections open.
const ENTRY_SETTINGS: &str = "[limits]\nbody_bytes = 60000\nconnections = 400\n";
/// Connections that all addresses of a program together may have beside those that the settings name.
const OTHER_CONNECTIONS: usize = 4_096;
/// Tries that an ordinary caller makes while a crowd is there, a new connection for each.
const ORDINARY_TRIES: usize = 20;
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after which the program counts as hanging: it reads what the kernels of a crowd that has gone still
/// had to send, which takes as long as the machine needs.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which requests are refused by their heads: half of that in which bodies have to arrive.
const HEAD_REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Descriptors that a program may have open for targets and the platform beyond those that it had
/// before the crowd.
const SPARE_DESCRIPTORS: usize = 16;

/// Held by the test that runs: crowds come one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// A program of a fleet that is watched.
pub struct CrowdProgram {
    harness: FleetHarness,
    name: String,
    watch: ProcessWatch,
    calm_descriptors: usize,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdProgram {
    /// Starts a fleet with one entry and a placer once no other test runs, and watches the process of
    /// this name.
    pub async fn start(name: &str) -> anyhow::Result<Self> {
        let turn = TURN.lock().await;
        let mut plan = FleetPlan::small(1);
        plan.entries[0].extra_settings = String::from(ENTRY_SETTINGS);
        let mut harness = FleetHarness::start(plan).await?;
        let settings = format!(
            "host = \"h1\"\nlisten = \"127.0.0.1:0\"\nentry = \"{}\"\n",
            harness.process("h1").address("operators")
        );
        let placer = harness.start_program("placer", "camphor-placer", &settings);
        placer.await?;
        let process = harness.process(name);
        let roles = ["callers", "peers", "operators"];
        let addresses = roles
            .iter()
            .filter(|role| name == "h1" || **role == "operators");
        let addresses: Result<Vec<SocketAddr>, _> = addresses
            .map(|role| process.address(role).parse())
            .collect();
        let watch = ProcessWatch::start(process.id(), &addresses?);
        Ok(Self {
            calm_descriptors: open_descriptors(process.id()),
            name: name.to_string(),
            watch,
            harness,
            _turn: turn,
        })
    }

    /// Returns an address of the program.
    pub fn address(&self, role: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.harness.process(&self.name).address(role).parse()?)
    }

    /// Waits until the crowd has sent what it can and the program uses no more for it; while it stays, an ordinary caller that comes again
    /// is answered.
    pub async fn hold(&mut self, crowd: &Crowd) {
        crowd.settle().await;
        self.watch.settle().await;
        self.assert_lives();
        for number in 0..ORDINARY_TRIES {
            if self.is_answered(&format!("during-{number}")).await {
                return;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        panic!("an ordinary caller is not served beside the crowd");
    }

    /// Waits, while a crowd of strangers is there, until some were refused and no body takes room.
    pub async fn wait_for_refusals(&self) -> anyhow::Result<()> {
        let process = self.harness.process(&self.name);
        let url = format!("http://{}/metrics", process.address("operators"));
        let description = "strangers are refused and no body takes room";
        wait_until(description, HEAD_REFUSAL_TIMEOUT, async || {
            let counters = self.harness.probe().get::<serde_json::Value>(&url).await;
            counters.is_ok_and(|counters| {
                let refused = counters["refused.bad_credential"].as_u64();
                refused.is_some_and(|count| count > 0) && counters["uploads.bytes"] == 0
            })
        })
        .await
    }

    /// Checks, after the crowd has gone, that the program lives, has kept to its memory and its
    /// descriptors, and answers an ordinary request.
    pub async fn finish(mut self) -> anyhow::Result<()> {
        let id = self.harness.process(&self.name).id();
        let limit = self.calm_descriptors + SPARE_DESCRIPTORS;
        let are_closed = async || open_descriptors(id) <= limit;
        wait_until(
            "the crowd's connections are closed",
            CLOSE_TIMEOUT,
            are_closed,
        )
        .await?;
        assert!(self.is_answered("after").await, "the ordinary request");
        self.assert_lives();
        let peak = self.watch.finish();
        println!("peak: {peak:?}");
        assert!(
            peak.memory <= MEMORY_BYTES,
            "{peak:?}, {MEMORY_BYTES} allowed"
        );
        let descriptors = limit + OTHER_CONNECTIONS;
        assert!(
            peak.descriptors <= descriptors,
            "{peak:?}, {descriptors} allowed"
        );
        Ok(())
    }

    fn assert_lives(&mut self) {
        let ended = self.harness.process_mut(&self.name).ended();
        assert!(ended.is_none(), "the program has ended: {ended:?}");
    }

    /// Sends an ordinary request to the program; returns true if it was answered.
    async fn is_answered(&self, id: &str) -> bool {
        let process = self.harness.process(&self.name);
        if self.name != "h1" {
            let url = format!("http://{}/metrics", process.address("operators"));
            return self.harness.probe().get_text(&url).await.is_ok();
        }
        let request = RunRequest::new("farm", "look", id, b"hay");
        let address = process.address("callers");
        let outcome = TestCaller::new().run(&address, &request).await;
        outcome.complete_answer().is_some()
    }
}

/// Returns a body of this many bytes in chunks of this size, without its end.
pub fn unfinished_chunks(byte_count: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'u', chunk_bytes));
    chunk.extend(b"\r\n");
    chunk.repeat(byte_count / chunk_bytes)
}

/// Returns the heads of requests whose bodies come in chunks, with an id for each.
pub fn chunked_heads(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|number| {
        format!(
            "POST /run/look HTTP/1.1\r\nhost: entry\r\nx-camphor-customer: farm\r\n\
             x-camphor-credential: farm-secret\r\nx-camphor-request: crowd-{number}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )
    })
}
