//! Crowds at the address of the placer.

use crate::{
    crowd::{AnswerUse, Crowd},
    crowd_program::{CrowdProgram, chunked_heads, unfinished_chunks},
};

/// Connections of a crowd.
const CROWD: usize = 400;
/// Length of a body, in bytes.
const BODY_BYTES: usize = 60_000;

#[actix_rt::test]
async fn placer_bodies_in_chunks_of_one_byte() -> anyhow::Result<()> {
    let mut program = CrowdProgram::start("placer").await?;
    let crowd = Crowd::open(
        program.address("operators")?,
        chunked_heads(CROWD),
        unfinished_chunks(BODY_BYTES, 1),
        AnswerUse::Read,
    );
    program.hold(&crowd).await;
    drop(crowd);
    program.finish().await
}
