use std::convert::Infallible;
use std::iter;

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};

use super::read_reserved;

/// Maximum size of a body.
const LIMIT: usize = 300_000;

fn content(len: usize) -> Vec<u8> {
    (0..len).map(|n| n as u8).collect()
}

/// A body of unstated length.
fn chunked(
    content: &[u8],
    chunk: usize,
) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + use<>> {
    let chunks = content.chunks(chunk).map(Bytes::copy_from_slice);
    let frames: Vec<_> = chunks.map(|chunk| Ok(Frame::data(chunk))).collect();
    StreamBody::new(stream::iter(frames))
}

/// Guards the content of a body while its buffer grows from the heap into a mapping and from one
/// mapping into the next.
#[tokio::test]
async fn body_is_read_whole_into_buffers_of_all_kinds() {
    let sizes = [0, 1, 8_192, 8_193, 16_384, 16_385, 131_072, 131_073, LIMIT];
    for size in sizes {
        let content = content(size);
        let stated = Full::new(Bytes::from(content.clone()));
        let read = read_reserved(stated, LIMIT, |_| true).await;
        assert!(read == Ok(Some(content.clone().into())), "{size} stated");

        for chunk in [1_000, 70_000] {
            let read = read_reserved(chunked(&content, chunk), LIMIT, |_| true).await;
            assert!(
                read == Ok(Some(content.clone().into())),
                "{size} by {chunk}"
            );
        }
    }
}

/// Guards the accounting: a buffer never holds more than was reserved, and nothing once that was
/// refused.
#[tokio::test]
async fn body_without_memory_is_discarded() {
    let allowed = iter::successors(Some(0), |n| Some(n + 20_000)).take(20);
    for allowed in allowed {
        let body = content(LIMIT);
        let mut most = 0;
        let read = read_reserved(chunked(&body, 1_000), LIMIT, |bytes| {
            most = bytes;
            bytes <= allowed
        });
        let read = read.await.unwrap();
        assert_eq!(read.is_some(), allowed >= LIMIT, "{allowed}");
        assert!(most <= LIMIT);
    }
}
