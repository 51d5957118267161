//! Crowds at the addresses of the entry daemon.

use crate::{
    crowd::{AnswerUse, Crowd},
    crowd_program::{CrowdProgram, chunked_heads, unfinished_chunks},
};

/// Connections of a crowd.
const CROWD: usize = 400;
/// Length of a body, in bytes: the longest that the settings of the test allow.
const BODY_BYTES: usize = 60_000;
/// Length that the prefix of a message of a peer states, in bytes.
const STATED_LENGTH: u32 = 16 * 1024 * 1024;
/// Bytes of the message that are sent.
const SENT_BYTES: usize = 256 * 1024;

async fn assert_bounded(role: &str, chunk_bytes: usize) -> anyhow::Result<()> {
    let mut program = CrowdProgram::start("h1").await?;
    let crowd = Crowd::open(
        program.address(role)?,
        chunked_heads(CROWD),
        unfinished_chunks(BODY_BYTES, chunk_bytes),
        AnswerUse::Read,
    );
    program.hold(&crowd).await;
    drop(crowd);
    program.finish().await
}

#[actix_rt::test]
async fn entry_bodies_in_chunks_of_one_byte() -> anyhow::Result<()> {
    assert_bounded("callers", 1).await
}

#[actix_rt::test]
async fn entry_bodies_in_one_chunk() -> anyhow::Result<()> {
    assert_bounded("callers", BODY_BYTES).await
}

#[actix_rt::test]
async fn entry_bodies_in_chunks_of_one_byte_at_the_operators() -> anyhow::Result<()> {
    assert_bounded("operators", 1).await
}

/// Guards against bodies of strangers that are kept until they are whole or late.
#[actix_rt::test]
async fn entry_bodies_with_a_credential_that_nobody_has() -> anyhow::Result<()> {
    let mut program = CrowdProgram::start("h1").await?;
    let heads = chunked_heads(CROWD);
    let crowd = Crowd::open(
        program.address("callers")?,
        heads.map(|head| head.replace("farm-secret", "secret-of-nobody")),
        unfinished_chunks(BODY_BYTES, BODY_BYTES),
        AnswerUse::Read,
    );
    program.hold(&crowd).await;
    program.wait_for_refusals().await?;
    drop(crowd);
    program.finish().await
}

#[actix_rt::test]
async fn entry_requests_in_line_with_answers_left_unread() -> anyhow::Result<()> {
    let mut program = CrowdProgram::start("h1").await?;
    let request = "GET /none HTTP/1.1\r\nhost: entry\r\n\r\n";
    let crowd = Crowd::open(
        program.address("callers")?,
        (0..CROWD).map(|_| String::new()),
        request.repeat(BODY_BYTES / request.len()).into_bytes(),
        AnswerUse::Leave,
    );
    program.hold(&crowd).await;
    drop(crowd);
    program.finish().await
}

#[actix_rt::test]
async fn entry_messages_of_strangers_that_do_not_end() -> anyhow::Result<()> {
    let mut program = CrowdProgram::start("h1").await?;
    let mut message = STATED_LENGTH.to_le_bytes().to_vec();
    message.resize(SENT_BYTES, b'm');
    let crowd = Crowd::open(
        program.address("peers")?,
        (0..CROWD).map(|_| String::new()),
        message,
        AnswerUse::Read,
    );
    program.hold(&crowd).await;
    drop(crowd);
    program.finish().await
}
