//! Response buffers are bounded one by one and in total, and released after use.

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;

use crate::relay::buffers::{BufferError, ResponseBuffers};

type Body = StreamBody<stream::Iter<std::vec::IntoIter<Result<Frame<Bytes>, std::io::Error>>>>;

/// A body of `count` chunks of `size` bytes.
fn body(count: usize, size: usize) -> Body {
    let chunk = |n: usize| Ok(Frame::data(Bytes::from(vec![n as u8; size])));
    let chunks: Vec<_> = (0..count).map(chunk).collect();
    StreamBody::new(stream::iter(chunks))
}

#[tokio::test]
async fn chunked_response_is_buffered_completely() {
    for (count, size) in [(0, 0), (1, 5), (3, 8 * 1024), (100, 777), (2, 100_000)] {
        let expected: Vec<u8> = (0..count).flat_map(|n| vec![n as u8; size]).collect();

        let collected = ResponseBuffers::default().collect(body(count, size)).await;

        assert_eq!(
            collected.as_deref(),
            Ok(expected.as_slice()),
            "{count} of {size}"
        );
    }
}

#[tokio::test]
async fn single_response_is_bounded() {
    let collected = ResponseBuffers::default().collect(body(4_000, 1024)).await;

    assert_eq!(collected, Err(BufferError::TooLarge));
}

#[tokio::test]
async fn total_is_bounded_and_released_after_use() {
    let buffers = ResponseBuffers::default();
    let collect = || {
        let chunks = stream::unfold(0, |n| async move {
            tokio::task::yield_now().await;
            let chunk: Result<_, std::io::Error> = Ok(Frame::data(Bytes::from(vec![0; 1024])));
            (n < 2_500).then_some((chunk, n + 1))
        });
        buffers.collect(StreamBody::new(Box::pin(chunks)))
    };

    let (first, second) = tokio::join!(collect(), collect());
    let third = collect().await;

    let full = [&first, &second]
        .into_iter()
        .filter(|r| **r == Err(BufferError::Full));
    assert_eq!(
        full.count(),
        1,
        "one of two concurrent responses is refused"
    );
    assert!(third.is_ok(), "the buffers are released");
}

#[tokio::test]
async fn interrupted_response_is_not_buffered() {
    let broken = Err(std::io::Error::other("reset"));
    let chunks = vec![Ok(Frame::data(Bytes::from_static(b"half"))), broken];
    let body: Body = StreamBody::new(stream::iter(chunks));

    let collected = ResponseBuffers::default().collect(body).await;

    assert_eq!(collected, Err(BufferError::Broken));
}
