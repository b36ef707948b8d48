//! Forwards loopback connections, and makes the open ones silent.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Which bytes of the open connections are no longer forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    Both,
    /// Those to the connecting side.
    Answers,
}

/// A forwarder in front of one address.
pub struct Forwarder {
    pub addr: SocketAddr,
    to: watch::Sender<Option<SocketAddr>>,
    silence: watch::Sender<Option<Silence>>,
}

impl Forwarder {
    /// Starts a forwarder that closes connections until [`Self::forward_to`] is called.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let forwarder = Self {
            addr: listener.local_addr().unwrap(),
            to: watch::Sender::new(None),
            silence: watch::Sender::new(None),
        };
        let (to, silence) = (forwarder.to.subscribe(), forwarder.silence.subscribe());
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let Some(to) = *to.borrow() else { continue };
                let mut silence = silence.clone();
                silence.mark_unchanged();
                tokio::spawn(async move {
                    let Ok(outbound) = TcpStream::connect(to).await else {
                        return;
                    };
                    let (from_caller, to_caller) = inbound.into_split();
                    let (from_server, to_server) = outbound.into_split();
                    tokio::join!(
                        copy(from_caller, to_server, silence.clone(), |s| s
                            == Silence::Both),
                        copy(from_server, to_caller, silence, |_| true),
                    );
                });
            }
        });
        forwarder
    }

    pub fn forward_to(&self, addr: SocketAddr) {
        self.to.send_replace(Some(addr));
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence_open(&self, silence: Silence) {
        self.silence.send_replace(Some(silence));
    }
}

/// Copies until the end, or until it is silenced; it is then neither closed nor read again.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut silence: watch::Receiver<Option<Silence>>,
    silences: fn(Silence) -> bool,
) {
    let silenced = async {
        while silence.changed().await.is_ok() {
            if silence.borrow().is_some_and(silences) {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        _ = tokio::io::copy(&mut from, &mut to) => {}
        () = silenced => std::future::pending().await,
    }
}
