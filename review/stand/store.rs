//! A stand-in for the platform's store: objects, lists, watches, conditions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader, response};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"create_revision\":{},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind and JSON of each change.
    log: Vec<(u64, String, String)>,
    /// Kind, `list` or `watch`, and time of each read.
    reads: Vec<(String, bool, Instant)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let store = Self {
            addr: listener.local_addr().expect("it is bound"),
            shared: Arc::default(),
        };
        let clone = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = clone.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, and returns the time at which it was acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        write(&mut state, kind, name, Some(spec), None);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        delete(&mut state, kind, name);
        self.shared.1.notify_all();
    }

    /// Time of the last watch of a kind.
    pub fn last_watch(&self, kind: &str) -> Option<Instant> {
        let state = self.shared.0.lock().unwrap();
        let mut reads = state.reads.iter().rev();
        reads.find(|(k, watch, _)| k == kind && *watch).map(|r| r.2)
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            let answer = self.answer(&head, &String::from_utf8_lossy(&body));
            if reader.send(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> Vec<u8> {
        // An answer takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        let json = "Content-Type: application/json\r\n";
        let Some(rest) = head.path().strip_prefix("/endivefork/objects/") else {
            return response("404 Not Found", json, "{}");
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(ToOwned::to_owned);
        let is_status = parts.next() == Some("status");
        let condition: Option<u64> = head.query("revision").and_then(|v| v.parse().ok());
        let condition = condition.or_else(|| {
            let metadata = field(body, "metadata")?;
            field(metadata, "revision")?.parse().ok()
        });
        let mut state = self.shared.0.lock().unwrap();
        match (head.method(), name) {
            ("GET", None) => {
                let watch = head.query("watch").and_then(|v| v.parse().ok());
                state
                    .reads
                    .push((kind.clone(), watch.is_some(), Instant::now()));
                drop(state);
                match watch {
                    Some(from) => self.watch(&kind, from, head),
                    None => self.list(&kind, head.query("after").unwrap_or_default()),
                }
            }
            ("GET", Some(name)) => match found(&state, &kind, &name) {
                Some(object) => response("200 OK", json, &object.json()),
                None => response("404 Not Found", json, "{}"),
            },
            ("POST", None) => {
                let name = field(body, "metadata").and_then(|m| field(m, "name"));
                let name = name.unwrap_or("\"\"").trim_matches('"').to_owned();
                if let Some(object) = found(&state, &kind, &name) {
                    return response("409 Conflict", json, &object.json());
                }
                let spec = field(body, "spec").unwrap_or("null");
                let object = write(&mut state, &kind, &name, Some(spec), None);
                self.shared.1.notify_all();
                response("200 OK", json, &object.json())
            }
            ("PUT" | "DELETE", Some(name)) => {
                let Some(object) = found(&state, &kind, &name) else {
                    return response("404 Not Found", json, "{}");
                };
                if condition.is_some_and(|c| c != object.revision) {
                    return response("409 Conflict", json, &object.json());
                }
                let object = match (head.method(), is_status) {
                    ("DELETE", _) => delete(&mut state, &kind, &name).unwrap_or(object),
                    (_, true) => {
                        let status = field(body, "status").unwrap_or("null");
                        write(&mut state, &kind, &name, None, Some(status))
                    }
                    (_, false) => {
                        let spec = field(body, "spec").unwrap_or("null");
                        write(&mut state, &kind, &name, Some(spec), None)
                    }
                };
                self.shared.1.notify_all();
                response("200 OK", json, &object.json())
            }
            _ => response("404 Not Found", json, "{}"),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        let items = state.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        let items: Vec<_> = items
            .filter(|o| o.name.as_str() > after)
            .map(Object::json)
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"as_of\":{}}}",
            items.join(","),
            state.revision
        );
        response("200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn watch(&self, kind: &str, from: u64, head: &Head) -> Vec<u8> {
        let wait = head.query("wait_ms").and_then(|v| v.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.log.iter();
            let events = events.filter(|(rev, k, _)| *rev > from && k == kind);
            let events: Vec<_> = events.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
                return response("200 OK", "Content-Type: application/json\r\n", &body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn found(state: &State, kind: &str, name: &str) -> Option<Object> {
    state.kinds.get(kind)?.get(name).cloned()
}

fn write(
    state: &mut State,
    kind: &str,
    name: &str,
    spec: Option<&str>,
    status: Option<&str>,
) -> Object {
    let old = found(state, kind, name);
    let mut object = old.clone().unwrap_or(Object {
        name: name.into(),
        revision: 0,
        created: state.revision + 1,
        spec: "null".into(),
        status: "null".into(),
    });
    if let Some(spec) = spec {
        object.spec = spec.into();
    }
    if let Some(status) = status {
        object.status = status.into();
    }
    // A write that changes nothing is no event.
    if old.is_some_and(|o| o.spec == object.spec && o.status == object.status) {
        return object;
    }
    state.revision += 1;
    object.revision = state.revision;
    let event = format!("{{\"removed\":false,\"object\":{}}}", object.json());
    state.log.push((state.revision, kind.into(), event));
    let of_kind = state.kinds.entry(kind.into()).or_default();
    of_kind.insert(name.into(), object.clone());
    object
}

fn delete(state: &mut State, kind: &str, name: &str) -> Option<Object> {
    let mut object = state.kinds.get_mut(kind)?.remove(name)?;
    state.revision += 1;
    object.revision = state.revision;
    let event = format!("{{\"removed\":true,\"object\":{}}}", object.json());
    state.log.push((state.revision, kind.into(), event));
    Some(object)
}

/// The JSON text of a field of an object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at = skip_space(bytes, at);
        if *bytes.get(at)? != b'"' {
            return None;
        }
        let end = skip_value(bytes, at)?;
        let key = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b':' {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(text[at..end].trim());
        }
        at = skip_space(bytes, end);
        if *bytes.get(at)? != b',' {
            return None;
        }
        at += 1;
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Index after the value that begins at `at`.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut is_text = false;
    let mut at = at;
    loop {
        let byte = *bytes.get(at)?;
        match byte {
            b'\\' if is_text => at += 1,
            b'"' => is_text = !is_text,
            _ if is_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return Some(at),
            b':' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
        let is_end = !is_text && depth == 0 && matches!(byte, b'"' | b'}' | b']');
        if is_end {
            return Some(at);
        }
    }
}
