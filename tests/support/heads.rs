//! Answers that end inside, shared by the tests of both programs.

/// Answers that end inside their head or their body, or whose end can't be told. `headers` are those
/// of a sound answer without its framing.
pub fn cut_answers(headers: &str, body: &str) -> Vec<String> {
    const STATUS: &str = "HTTP/1.1 200 OK\r\n";
    let head = format!("{STATUS}{headers}");
    let size = body.len();
    let framed = |framing: &str, body: &str| format!("{head}{framing}\r\n\r\n{body}");
    let chunked = |body: &str| framed("Transfer-Encoding: chunked", body);
    let half = &body[..size / 2];
    vec![
        "HTTP/1.1 20".to_owned(),
        STATUS.to_owned(),
        format!("{head}Content-Le"),
        format!("{head}Content-Length: 1"),
        format!("{head}Content-Length: {size}\r\n"),
        format!("{head}Content-Length: {size}\r\n\r"),
        format!("{head}Transfer-Encoding: chu"),
        "HTTP/1.1 103 Hints\r\n\r\n".to_owned(),
        format!("HTTP/1.1 101 Switch\r\n{headers}\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{head}Content-Length: {size}\r\n"),
        framed(&format!("Content-Length: {}", size + 1), body),
        framed(&format!("Content-Length: {size}"), half),
        framed(
            &format!("Content-Length: {size}\r\nContent-Length: {}", size / 2),
            body,
        ),
        framed(
            &format!("Content-Length: {size}\r\nTransfer-Encoding: identity"),
            half,
        ),
        framed(
            "Transfer-Encoding: gzip, chunked",
            &format!("{size:x}\r\n{body}\r\n0\r\n\r\n"),
        ),
        chunked("1"),
        chunked(&format!("{size:x}\r")),
        chunked(&format!("{size:x}\r\n{half}")),
        chunked(&format!("{size:x}\r\n{body}")),
        chunked(&format!("{size:x}\r\n{body}\r\n")),
        chunked(&format!("{size:x}\r\n{body}\r\n0\r\n")),
        chunked(&format!("{size:x}\r\n{body}\r\n0\r\n\r")),
    ]
}
