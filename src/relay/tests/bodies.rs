//! Answers that are held whole: bounded alone and together, and given back.

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;

use crate::relay::bodies::{Bodies, HoldError};

type Body = StreamBody<stream::Iter<std::vec::IntoIter<Result<Frame<Bytes>, std::io::Error>>>>;

/// A body of `count` pieces of `size` bytes.
fn body(count: usize, size: usize) -> Body {
    let piece = |n: usize| Ok(Frame::data(Bytes::from(vec![n as u8; size])));
    let pieces: Vec<_> = (0..count).map(piece).collect();
    StreamBody::new(stream::iter(pieces))
}

#[tokio::test]
async fn an_answer_in_pieces_is_held_whole() {
    for (count, size) in [(0, 0), (1, 5), (3, 8 * 1024), (100, 777), (2, 100_000)] {
        let whole: Vec<u8> = (0..count).flat_map(|n| vec![n as u8; size]).collect();

        let held = Bodies::default().collect(body(count, size)).await;

        assert_eq!(held.as_deref(), Ok(whole.as_slice()), "{count} of {size}");
    }
}

#[tokio::test]
async fn one_answer_is_bounded() {
    let held = Bodies::default().collect(body(4_000, 1024)).await;

    assert_eq!(held, Err(HoldError::TooLarge));
}

#[tokio::test]
async fn answers_are_bounded_together_and_given_back() {
    let bodies = Bodies::default();
    let hold = || {
        let pieces = stream::unfold(0, |n| async move {
            tokio::task::yield_now().await;
            let piece: Result<_, std::io::Error> = Ok(Frame::data(Bytes::from(vec![0; 1024])));
            (n < 2_500).then_some((piece, n + 1))
        });
        bodies.collect(StreamBody::new(Box::pin(pieces)))
    };

    let (first, second) = tokio::join!(hold(), hold());
    let alone = hold().await;

    let full = [&first, &second]
        .into_iter()
        .filter(|h| **h == Err(HoldError::Full));
    assert_eq!(full.count(), 1, "one of two gives way");
    assert!(alone.is_ok(), "what was held is given back");
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_not_held() {
    let broken = Err(std::io::Error::other("reset"));
    let pieces = vec![Ok(Frame::data(Bytes::from_static(b"half"))), broken];
    let body: Body = StreamBody::new(stream::iter(pieces));

    let held = Bodies::default().collect(body).await;

    assert_eq!(held, Err(HoldError::Broken));
}
