//! How a platform spells the calls of its object API: paths, bodies and answers. Everything else
//! about a call is the same for all platforms and stays in the client.

use std::fmt;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Changes, Expect, List, Object, PAGE_LIMIT};
use crate::http::encode;

/// The part of a list that one call asks for.
#[derive(Clone, Copy, Debug)]
pub struct Part<'a> {
    /// Beginning of the names.
    pub prefix: &'a str,
    /// Name that the part comes after.
    pub after: &'a str,
    /// Most objects.
    pub limit: usize,
}

/// A list and whether more follows.
pub type Page = (List, bool);

/// One spelling. Decoders answer with the reason when a text has another shape.
#[derive(Clone, Copy)]
pub struct Spelling {
    /// Path of an object.
    pub object: fn(kind: &str, name: &str) -> String,
    /// Method of a conditional write.
    pub method: fn(expect: Expect) -> Method,
    /// Path of a conditional write.
    pub write: fn(kind: &str, name: &str, expect: Expect) -> String,
    /// Body of a conditional write.
    pub body: fn(name: &str, value: &Value, expect: Expect) -> Value,
    /// Path of a list.
    pub list: fn(kind: &str, part: Part<'_>) -> String,
    /// Path of a watch.
    pub watch: fn(kind: &str, from: u64, wait: Duration) -> String,
    /// Reads an object.
    pub read_object: fn(kind: &str, body: &[u8]) -> Result<Object, String>,
    /// Reads a list and whether more follows.
    pub read_list: fn(kind: &str, body: &[u8], limit: usize) -> Result<Page, String>,
    /// Reads what a watch brought.
    pub read_changes: fn(kind: &str, body: &[u8]) -> Result<Changes, String>,
    /// Reads the revision of a write.
    pub read_revision: fn(body: &[u8]) -> Result<u64, String>,
}

impl fmt::Debug for Spelling {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Spelling")
    }
}

#[derive(Deserialize)]
struct Written {
    rev: u64,
}

impl Spelling {
    /// The spelling of docs/interfaces.md.
    pub const OWN: Self = Self {
        object: own_object,
        method: |_| Method::PUT,
        write: |kind, name, expect| format!("{}?if_rev={}", own_object(kind, name), expect.rev()),
        body: |_, value, _| value.clone(),
        list: |kind, part| {
            let Part {
                prefix,
                after,
                limit,
            } = part;
            format!(
                "/v1/objects/{}?prefix={}&after={}&limit={limit}",
                encode(kind),
                encode(prefix),
                encode(after)
            )
        },
        watch: |kind, from, wait| {
            let kind = encode(kind);
            format!("/v1/watch/{kind}?from={from}&wait_ms={}", wait.as_millis())
        },
        read_object: |_, body| json(body),
        read_list: |_, body, limit| {
            let list: List = json(body)?;
            let more = list.items.len() >= limit.min(PAGE_LIMIT);
            Ok((list, more))
        },
        read_changes: |_, body| json(body),
        read_revision: |body| json::<Written>(body).map(|w| w.rev),
    };
}

fn own_object(kind: &str, name: &str) -> String {
    format!("/v1/objects/{}/{}", encode(kind), encode(name))
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}
