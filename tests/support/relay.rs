//! A TCP relay that can be cut, as a network between two parts can.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes carried at once.
const CHUNK: usize = 16 * 1024;

/// A relay. While it is cut, nothing passes and nothing is closed; afterwards all goes on.
#[derive(Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    cut: watch::Sender<bool>,
}

impl Relay {
    /// A relay that leads nowhere yet.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let upstream = Arc::<Mutex<Option<SocketAddr>>>::default();
        let cut = watch::Sender::new(false);
        let (to, state) = (Arc::clone(&upstream), cut.subscribe());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, Arc::clone(&to), state.clone()));
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

async fn carry(
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
        pump(near_read, far_write, cut.clone()),
        pump(far_read, near_write, cut),
    );
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let _ = cut.wait_for(|cut| !*cut).await;
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
