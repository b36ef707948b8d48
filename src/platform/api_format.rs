//! The wire format of a platform's object API: paths, methods, request and response bodies. The
//! rest of a call does not depend on the platform and is in the client.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, Method};
use serde::Deserialize;
use serde_json::Value;

use super::{Changes, EntryFormat, Expect, List, Object, PAGE_LIMIT, StatedEra};
use crate::http::encode;
use crate::json::decode;

/// The page of a list that one call requests.
#[derive(Clone, Copy, Debug)]
pub struct PageRequest<'a> {
    /// Prefix of the names.
    pub prefix: &'a str,
    /// Name after which the page starts, exclusive; empty for the first page.
    pub after: &'a str,
    /// Maximum number of objects.
    pub limit: usize,
}

/// One page of a list, and whether more pages follow.
pub type Page = (List, bool);

/// Functions that encode the calls and decode the responses of one API. Decoders return the reason
/// when a body as a whole does not have the expected format; entries are decoded one by one.
#[derive(Clone, Copy)]
pub struct ApiFormat {
    /// Path of an object.
    pub object: fn(kind: &str, name: &str) -> String,
    /// Method of a conditional write.
    pub method: fn(expect: Expect) -> Method,
    /// Path of a conditional write.
    pub write: fn(kind: &str, name: &str, expect: Expect) -> String,
    /// Body of a conditional write.
    pub body: fn(name: &str, value: &Value, expect: Expect) -> Value,
    /// Path of a list.
    pub list: fn(kind: &str, request: PageRequest<'_>) -> String,
    /// Path of a watch.
    pub watch: fn(kind: &str, from: u64, wait: Duration) -> String,
    /// Decodes an object.
    pub read_object: fn(kind: &str, body: &[u8]) -> Result<Object, String>,
    /// Decodes one page of a list, and whether more pages follow.
    pub read_list: fn(kind: &str, body: &[u8], limit: usize) -> Result<Page, String>,
    /// Decodes the response of a watch.
    pub read_changes: fn(kind: &str, body: &[u8]) -> Result<Changes, String>,
    /// Decodes the revision from the response of a conditional write or deletion.
    pub read_revision: fn(body: &[u8]) -> Result<u64, String>,
    /// Reads the era of the platform's state from the headers of any response.
    pub read_era: fn(headers: &HeaderMap) -> StatedEra,
}

impl fmt::Debug for ApiFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiFormat")
    }
}

#[derive(Deserialize)]
struct WriteResponse {
    rev: u64,
}

const NATIVE_LIST: EntryFormat = EntryFormat {
    entries: "items",
    rev: "rev",
    object: |entry| Some(entry),
    identity: |object| Some(object),
    object_rev: "rev",
};

const NATIVE_CHANGES: EntryFormat = EntryFormat {
    entries: "events",
    ..NATIVE_LIST
};

impl ApiFormat {
    /// The API documented in docs/interfaces.md.
    pub const NATIVE: Self = Self {
        object: object_path,
        method: |_| Method::PUT,
        write: |kind, name, expect| format!("{}?if_rev={}", object_path(kind, name), expect.rev()),
        body: |_, value, _| value.clone(),
        list: |kind, request| {
            let PageRequest {
                prefix,
                after,
                limit,
            } = request;
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
        read_object: |_, body| decode(body),
        read_list: |kind, body, limit| {
            let (list, count) = NATIVE_LIST.read_list(kind, body, decode)?;
            let more = list.is_cut || count >= limit.min(PAGE_LIMIT);
            Ok((list, more))
        },
        read_changes: |kind, body| NATIVE_CHANGES.read_changes(kind, body, decode, |_| false),
        read_revision: |body| decode::<WriteResponse>(body).map(|w| w.rev),
        read_era: |_| None,
    };
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/v1/objects/{}/{}", encode(kind), encode(name))
}
