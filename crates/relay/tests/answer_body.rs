//! The end of a streamed answer.

use {
    actix_http::body::MessageBody,
    bytes::Bytes,
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
