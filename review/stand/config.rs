//! Configurations, as the operator writes them to the store.

/// A route.
pub struct Route<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
}

/// Text of `config/main`. `engines` and `plain` are the services, `keys` the keys of one tenant.
pub fn config(
    version: u64,
    routes: &[Route<'_>],
    engines: &[&str],
    plain: &[&str],
    keys: &[&str],
) -> String {
    let routes: Vec<_> = routes.iter().map(route).collect();
    let engines = engines.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":300,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kv_capacity_tokens\":88000,\
             \"kv_token_bytes\":192512,\"link_mbps\":1500000.0,\"moves\":true,\"backups\":true,\
             \"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":4.0,\
             \"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    });
    let plain = plain.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services: Vec<_> = engines.chain(plain).collect();
    let keys: Vec<_> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hire-1\",\"keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

fn route(route: &Route<'_>) -> String {
    let Route {
        name,
        host,
        prefix,
        kind,
        service,
    } = route;
    let (timeout, aim, attempts, resume) = match *kind {
        "streaming" => (25_000, 4_500, 5, true),
        "idempotent" => (2_000, 200, 3, false),
        _ => (2_000, 200, 1, false),
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"public_access\":false,\"session_affinity\":{resume},\
         \"stream_resume\":{resume},\"gap_aim_ms\":700}}"
    )
}

/// A streaming request of a client.
pub fn stream_request(
    (host, path): (&str, &str),
    id: &str,
    prompt: &str,
    last_event: u64,
    body: &str,
) -> Vec<u8> {
    let last = match last_event {
        0 => String::new(),
        last => format!("Last-Event-Id: {last}\r\n"),
    };
    format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n{last}X-Model: m\r\n\
         X-Token-Count: 8200,650\r\nX-Prompt-Prefix: {prompt}\r\nX-Deadline-Ms: 25000\r\n\
         X-Api-Key: key-1\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request without a body.
pub fn call_request((method, host, path): (&str, &str, &str), id: &str, key: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\
         X-Api-Key: {key}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
