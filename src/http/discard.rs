//! Reading of bodies that nobody needs, so that their sender gets an answer in place of a reset.

use std::time::Duration;

use http_body::Body;
use http_body_util::{BodyExt as _, Limited};
use tokio::time::timeout;

/// Longest body that is discarded, in bytes.
pub(crate) const DISCARD_MAX: usize = 4 << 20;

/// Time for a body to arrive that is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a body to its end, unless it is too long or comes too slowly. Returns whether it ended.
pub(crate) async fn discard<B>(body: B) -> bool
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, DISCARD_MAX);
    let read = async {
        loop {
            match body.frame().await {
                Some(Ok(_)) => {}
                ended => break ended.is_none(),
            }
        }
    };
    timeout(DISCARD_TIMEOUT, read).await.unwrap_or_default()
}
