//! Serves a router over HTTP/1.1, with answers that can be lost on the way.

use std::io;
use std::time::Instant;

use axum::Router;
use axum::response::Response;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;

/// Marks a response that is never sent: its connection is closed instead.
#[derive(Clone, Copy)]
struct Lost;

/// When a request's connection was accepted.
#[derive(Clone, Copy, Debug)]
pub struct Accepted(pub Instant);

/// A response that the other side never sees.
pub fn lost() -> Response {
    let mut response = Response::default();
    response.extensions_mut().insert(Lost);
    response
}

/// Accepts connections for as long as it is polled. Each runs as a task of its own.
pub async fn serve(listener: TcpListener, router: Router) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let inner = TowerToHyperService::new(router.clone());
        let accepted = Accepted(Instant::now());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(accepted);
            let answer = hyper::service::Service::call(&inner, request);
            async move {
                let response: Response = answer.await.expect("a router never fails");
                match response.extensions().get::<Lost>() {
                    Some(Lost) => Err(io::Error::other("answer lost")),
                    None => Ok(response),
                }
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}
