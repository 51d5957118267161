//! The end of a streamed answer.

use {
    actix_http::body::MessageBody,
    bytes::Bytes,
    futures_util::FutureExt,
    relay::{AnswerBody, AnswerSender, BodyCut},
    std::{future::poll_fn, pin::Pin},
};

async fn next_chunk(body: &mut AnswerBody) -> Option<Result<Bytes, BodyCut>> {
    poll_fn(|context| Pin::new(&mut *body).poll_next(context)).await
}

#[actix_rt::test]
async fn a_finished_answer_ends_after_all_of_its_chunks() {
    let (sender, mut body) = AnswerSender::open();
    sender.send(Bytes::from_static(b"1")).await.unwrap();
    sender.finish();
    assert_eq!(
        next_chunk(&mut body).await,
        Some(Ok(Bytes::from_static(b"1")))
    );
    assert_eq!(next_chunk(&mut body).await, None);
}

/// Guards against chunks of any size that wait for a caller that does not read.
#[actix_rt::test]
async fn few_bytes_wait_for_a_caller_that_does_not_read() {
    let (sender, mut body) = AnswerSender::open();
    let chunk = Bytes::from_static(&[b'e'; 10_000]);
    sender.send(chunk.clone()).await.unwrap();
    let mut second = Box::pin(sender.send(chunk.clone()));
    assert!((&mut second).now_or_never().is_none());
    assert_eq!(next_chunk(&mut body).await, Some(Ok(chunk)));
    assert_eq!(second.now_or_never(), Some(Ok(())));
}

#[actix_rt::test]
async fn a_chunk_that_is_longer_than_may_wait_waits_alone() {
    let (sender, mut body) = AnswerSender::open();
    let chunk = Bytes::from(vec![b'e'; 100_000]);
    sender.send(chunk.clone()).await.unwrap();
    assert!(sender.send(chunk.clone()).now_or_never().is_none());
    assert_eq!(next_chunk(&mut body).await, Some(Ok(chunk)));
    drop(body);
    let late = sender.send(Bytes::from_static(b"1")).await;
    assert!(late.is_err());
}

/// Task that forwards a stream and dies.
async fn forward_and_panic(sender: AnswerSender) {
    sender.send(Bytes::from_static(b"1")).await.unwrap();
    panic!("the forwarding fails");
}

#[actix_rt::test]
async fn an_answer_whose_forwarding_panics_does_not_look_complete() {
    let (sender, mut body) = AnswerSender::open();
    let ending = actix_rt::spawn(forward_and_panic(sender)).await;
    assert!(ending.is_err_and(|error| error.is_panic()));
    assert_eq!(
        next_chunk(&mut body).await,
        Some(Ok(Bytes::from_static(b"1")))
    );
    assert_eq!(next_chunk(&mut body).await, Some(Err(BodyCut)));
}
