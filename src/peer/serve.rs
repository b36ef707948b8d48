//! Server side of connections between instances: authenticates the client, then passes each
//! message to the handler of its tag.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use super::auth::{Nonce, Proof, Side, nonce, proofs_match};
use super::frame::{MAX_FRAME, PROTOCOL, Tag, decode, encode};
use super::hub::Hub;
use super::link::{HELLO, Hello, PROVE, VERSION_HEADER, WINDOW_SIZE, Welcome, collect};
use super::meter::Metered;

/// Timeout for the HTTP/2 handshake, and again for authentication.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Authentication state of a connection.
#[derive(Clone, Debug)]
enum Session {
    New,
    Challenged { name: SmolStr, expected: Proof },
    Proved(SmolStr),
}

type Shared = Arc<Mutex<Session>>;

/// Accepts connections until the hub is closed.
pub(crate) async fn accept(hub: Arc<Hub>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = hub.closed.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(Arc::clone(&hub), stream);
                tokio::spawn(hub.closed.clone().run_until_cancelled_owned(connection));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn connection(hub: Arc<Hub>, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_SIZE)
        .initial_connection_window_size(WINDOW_SIZE)
        .handshake(Metered(stream));
    let Ok(Ok(mut connection)) = tokio::time::timeout(AUTH_TIMEOUT, handshake).await else {
        hub.count_malformed();
        return;
    };
    let session = Shared::new(Mutex::new(Session::New));
    let deadline = tokio::time::Instant::now() + AUTH_TIMEOUT;
    loop {
        let proved = matches!(*session.lock(), Session::Proved(_));
        let accepted = match proved {
            true => connection.accept().await,
            false => match tokio::time::timeout_at(deadline, connection.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return,
            },
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        let exchange = exchange(Arc::clone(&hub), Arc::clone(&session), request, respond);
        tokio::spawn(hub.closed.clone().run_until_cancelled_owned(exchange));
    }
}

async fn exchange(
    hub: Arc<Hub>,
    session: Shared,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (status, body) = match answer(&hub, &session, request).await {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Bytes::new()),
    };
    let head = Response::builder()
        .status(status)
        .header(VERSION_HEADER, PROTOCOL)
        .body(())
        .expect("valid status and header");
    let last = body.is_empty();
    if let Ok(mut stream) = respond.send_response(head, last)
        && !last
    {
        drop(stream.send_data(body, true));
    }
}

async fn answer(
    hub: &Arc<Hub>,
    session: &Shared,
    request: Request<RecvStream>,
) -> Result<Bytes, StatusCode> {
    let (head, body) = request.into_parts();
    let version = head.headers.get(VERSION_HEADER);
    let version = version.and_then(|v| v.to_str().ok()?.parse().ok());
    if version != Some(PROTOCOL) {
        hub.count_foreign();
        return Err(StatusCode::UPGRADE_REQUIRED);
    }
    let Some(body) = collect(body).await else {
        hub.count_malformed();
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let now = session.lock().clone();
    let path = head.uri.path();
    let answer = match (now, path) {
        (Session::New, HELLO) => hello(hub, session, &body),
        (Session::Challenged { name, expected }, PROVE) => {
            return prove(hub, session, name, expected, &body);
        }
        (Session::Proved(name), path) => message(hub, name, path, body).await,
        _ => {
            hub.count_unauthenticated();
            return Err(StatusCode::UNAUTHORIZED);
        }
    };
    let answer = answer.filter(|a| a.len() <= MAX_FRAME);
    answer.ok_or_else(|| {
        hub.count_malformed();
        StatusCode::BAD_REQUEST
    })
}

fn hello(hub: &Hub, session: &Shared, body: &[u8]) -> Option<Bytes> {
    let hello: Hello = decode(body)?;
    let challenge: Nonce = nonce();
    let client = (hello.name.as_str(), &hello.challenge);
    let key = &hub.opts.key;
    let welcome = Welcome {
        challenge,
        proof: key.prove(Side::Server, client, &challenge),
    };
    let expected = key.prove(Side::Client, client, &challenge);
    *session.lock() = Session::Challenged {
        name: hello.name,
        expected,
    };
    Some(encode(&welcome))
}

fn prove(
    hub: &Hub,
    session: &Shared,
    name: SmolStr,
    expected: Proof,
    body: &[u8],
) -> Result<Bytes, StatusCode> {
    match decode::<Proof>(body) {
        Some(proof) if proofs_match(&proof, &expected) => {
            *session.lock() = Session::Proved(name);
            Ok(Bytes::new())
        }
        _ => {
            *session.lock() = Session::New;
            hub.count_unauthenticated();
            Err(StatusCode::UNAUTHORIZED)
        }
    }
}

async fn message(hub: &Hub, from: SmolStr, path: &str, body: Bytes) -> Option<Bytes> {
    let number: usize = path.strip_prefix("/m/")?.parse().ok()?;
    let tag = *Tag::ALL.get(number)?;
    let handler = hub.handler(tag)?;
    handler(from, body).await
}
