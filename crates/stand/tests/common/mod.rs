//! Starts stand-ins and calls targets as an entry does.
#![allow(dead_code)]

use {
    anyhow::anyhow,
    awc::{Client, http::header::HeaderMap},
    base::{
        ATTEMPT_HEADER, CALL_HEADER, CUSTOMER_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
        RESUME_HEADER, STAGE_HEADER, StreamEvent,
    },
    bytes::Bytes,
    futures_util::StreamExt,
    proofs::ChildProcess,
    std::{path::Path, time::Duration},
};

/// Time within which every step of these tests must end.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// One call to a target.
#[derive(Clone)]
pub struct StandCall {
    /// Kind of call.
    pub name: &'static str,
    pub request: &'static str,
    pub priority: &'static str,
    pub resume_at: u64,
    pub input: &'static [u8],
}

impl Default for StandCall {
    fn default() -> Self {
        Self {
            name: "encode",
            request: "r1",
            priority: "normal",
            resume_at: 0,
            input: b"hay",
        }
    }
}

/// Reply to a call, as far as it arrived.
pub struct StandReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
    /// False if the body ended early.
    pub is_whole: bool,
}

impl StandReply {
    /// Value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    /// Events of a streamed body.
    pub fn events(&self) -> Vec<StreamEvent> {
        let lines = self.body.split_inclusive(|byte| *byte == b'\n');
        lines
            .map(|line| StreamEvent::from_line(line).unwrap())
            .collect()
    }
}

/// Starts a stand-in whose log is a file in the folder.
pub async fn start(folder: &Path, arguments: &[&str]) -> anyhow::Result<ChildProcess> {
    ChildProcess::start("camphor-stand", arguments, &folder.join("log")).await
}

/// Calls a target and reads the answer, which may end early; fails if no head arrives.
pub async fn call(address: &str, call: &StandCall) -> anyhow::Result<StandReply> {
    let client = Client::builder().timeout(STEP_TIMEOUT).finish();
    let sent = client
        .post(format!("http://{address}/call"))
        .insert_header((CUSTOMER_HEADER, "farm"))
        .insert_header((REQUEST_HEADER, call.request))
        .insert_header((STAGE_HEADER, "0"))
        .insert_header((ATTEMPT_HEADER, "1"))
        .insert_header((CALL_HEADER, call.name))
        .insert_header((PRIORITY_HEADER, call.priority))
        .insert_header((RESUME_HEADER, call.resume_at.to_string()))
        .send_body(Bytes::from_static(call.input))
        .await;
    let mut reply = sent.map_err(|error| anyhow!("{error}"))?;
    let mut body = Vec::new();
    let mut is_whole = true;
    while let Some(chunk) = reply.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => is_whole = false,
        }
    }
    Ok(StandReply {
        status: reply.status().as_u16(),
        headers: reply.headers().clone(),
        body,
        is_whole,
    })
}
