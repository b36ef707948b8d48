//! Client side of an authenticated HTTP/2 connection to another instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::auth::{Nonce, PeerKey, Proof, Side, nonce, proofs_match};
use super::frame::{MAX_FRAME, PROTOCOL, Tag, decode, encode};
use super::meter::Metered;

/// Header with the protocol version.
pub(crate) const VERSION_HEADER: &str = "x-protocol";

/// Path of the first handshake call.
pub(crate) const HELLO: &str = "/hello";

/// Path of the second handshake call.
pub(crate) const PROVE: &str = "/prove";

/// Flow-control window of a stream and of a connection, in bytes.
pub(crate) const WINDOW_SIZE: u32 = 8 << 20;

/// First handshake call: the client's name and challenge.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) name: SmolStr,
    pub(crate) challenge: Nonce,
}

/// Answer to [`Hello`]: the server's challenge and proof.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Welcome {
    pub(crate) challenge: Nonce,
    pub(crate) proof: Proof,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("connection refused")]
    Refused,
    #[error("connection lost")]
    Lost,
    #[error("no answer in time")]
    TimedOut,
    #[error("wrong key")]
    WrongKey,
    #[error("other protocol version")]
    OtherVersion,
    #[error("message refused with status {0}")]
    Status(u16),
}

/// An open connection. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    sender: SendRequest<Bytes>,
    number: u64,
}

impl Link {
    /// Connects and authenticates both sides.
    pub(crate) async fn connect(
        addr: SocketAddr,
        me: &str,
        key: &PeerKey,
        limit: Duration,
    ) -> Result<Self, LinkError> {
        timeout(limit, Self::open(addr, me, key))
            .await
            .unwrap_or(Err(LinkError::TimedOut))
    }

    /// Whether both handles refer to the same connection.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.number == other.number
    }

    /// Sends a message and waits for its answer.
    pub(crate) async fn call(
        &self,
        tag: Tag,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, LinkError> {
        let path = format!("/m/{}", tag as u8);
        timeout_at(deadline, self.post(&path, body))
            .await
            .unwrap_or(Err(LinkError::TimedOut))
    }

    async fn open(addr: SocketAddr, me: &str, key: &PeerKey) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(addr).await.map_err(|e| match e.kind() {
            std::io::ErrorKind::ConnectionRefused => LinkError::Refused,
            _ => LinkError::Lost,
        })?;
        stream.set_nodelay(true).map_err(|_| LinkError::Lost)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_SIZE)
            .initial_connection_window_size(WINDOW_SIZE)
            .handshake(Metered(stream))
            .await
            .map_err(|_| LinkError::Lost)?;
        tokio::spawn(connection);
        let link = Self {
            sender,
            number: rand::random(),
        };
        link.authenticate(me, key).await?;
        Ok(link)
    }

    async fn authenticate(&self, me: &str, key: &PeerKey) -> Result<(), LinkError> {
        let hello = Hello {
            name: me.into(),
            challenge: nonce(),
        };
        let answer = self.post(HELLO, encode(&hello)).await?;
        let welcome: Welcome = decode(&answer).ok_or(LinkError::Lost)?;
        let client = (me, &hello.challenge);
        let expected = key.prove(Side::Server, client, &welcome.challenge);
        if !proofs_match(&expected, &welcome.proof) {
            return Err(LinkError::WrongKey);
        }
        let proof = key.prove(Side::Client, client, &welcome.challenge);
        self.post(PROVE, encode(&proof)).await?;
        Ok(())
    }

    async fn post(&self, path: &str, body: Bytes) -> Result<Bytes, LinkError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://peer{path}"))
            .header(VERSION_HEADER, PROTOCOL)
            .body(())
            .expect("valid path and header");
        let mut sender = self.sender.clone().ready().await.map_err(lost)?;
        let (response, mut stream) = sender.send_request(request, false).map_err(lost)?;
        stream.send_data(body, true).map_err(lost)?;
        let (head, body) = response.await.map_err(lost)?.into_parts();
        match head.status {
            StatusCode::OK => collect(body).await.ok_or(LinkError::Lost),
            StatusCode::UPGRADE_REQUIRED => Err(LinkError::OtherVersion),
            StatusCode::UNAUTHORIZED => Err(LinkError::WrongKey),
            status => Err(LinkError::Status(status.as_u16())),
        }
    }
}

fn lost(_: h2::Error) -> LinkError {
    LinkError::Lost
}

/// Reads a complete body. `None` if the stream fails or exceeds [`MAX_FRAME`].
pub(crate) async fn collect(mut body: RecvStream) -> Option<Bytes> {
    let mut all = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.ok()?;
        body.flow_control().release_capacity(data.len()).ok()?;
        all.extend_from_slice(&data);
        if all.len() > MAX_FRAME {
            return None;
        }
    }
    Some(all.freeze())
}
