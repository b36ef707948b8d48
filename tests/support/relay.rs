//! A TCP relay that simulates a network partition.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Buffer size in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A TCP relay. While it is cut, no data is forwarded and no connection is closed; after `heal`,
/// forwarding continues.
#[derive(Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    cut: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay without an upstream; see [`Self::point`].
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let upstream = Arc::<Mutex<Option<SocketAddr>>>::default();
        let cut = watch::Sender::new(false);
        let (to, state) = (Arc::clone(&upstream), cut.subscribe());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(stream, Arc::clone(&to), state.clone()));
            }
        });
        Self {
            addr,
            upstream,
            cut,
        }
    }

    pub fn point(&self, upstream: SocketAddr) {
        *self.upstream.lock() = Some(upstream);
    }

    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    pub fn heal(&self) {
        self.cut.send_replace(false);
    }
}

async fn relay_connection(
    near: TcpStream,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    mut cut: watch::Receiver<bool>,
) {
    let _ = cut.wait_for(|cut| !*cut).await;
    let Some(addr) = *upstream.lock() else { return };
    let Ok(far) = TcpStream::connect(addr).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, cut.clone()),
        copy(far_read, near_write, cut),
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let _ = cut.wait_for(|cut| !*cut).await;
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
