//! A caller's request, with what was decided about it before its first attempt.

use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Uri, Version};
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use super::dialect::{AttemptHead, Dialect, RequestHead};
use super::priority::Priority;
use super::record::FailedAttempt;
use super::request_memory::Reservation;
use super::rules::{Route, Rules};
use crate::ident::digest;
use crate::quarantine::{PARTS_MAX, PartKey};

/// Output tokens assumed for a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 1024;

/// A caller's request.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) ask: RequestHead,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    /// Headers that reach a target on every attempt.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Holds the memory of the body.
    pub(crate) _memory: Reservation,
    pub(crate) account: Option<SmolStr>,
    pub(crate) route: Route,
    pub(crate) service: SmolStr,
    /// Parts of the request that may crash a target: the shared ones of its prompt, and the request
    /// as a whole.
    pub(crate) suspect_parts: Vec<PartKey>,
    /// Priority by the rules that were applied.
    pub(crate) priority: Priority,
    /// Whether those rules give the service's requests different priorities.
    pub(crate) is_ranked: bool,
    /// Version of the rules that were applied.
    pub(crate) rules: u64,
    pub(crate) arrived: Instant,
    /// When the answer is due, by the caller's maximum wait and the route's timeout.
    pub(crate) deadline: Instant,
}

impl CallerRequest {
    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Priority that an engine is told. Older requests keep theirs while `rules`, those in force
    /// now, or the rules that were applied give the service's requests different ones.
    pub(crate) fn urgency(&self, rules: Option<&Rules>) -> Option<Priority> {
        let is_ranked = self.is_ranked || rules.is_some_and(|r| r.is_ranked(&self.service));
        is_ranked.then_some(self.priority)
    }

    /// Tokens that a stream generates at most.
    pub(crate) fn output_tokens(&self) -> u32 {
        match self.ask.output_tokens {
            0 => DEFAULT_OUTPUT_TOKENS,
            tokens => tokens,
        }
    }

    /// Digest of the content, the same if the caller sends it again under another id.
    fn content(&self) -> u128 {
        let account = self.account.as_deref().unwrap_or_default();
        let body = xxh3_128(&self.body).to_string();
        digest(&[self.path.as_str(), account, &self.ask.prompt_parts, &body])
    }

    /// Digest of the content and of what runs it. A run goes on from the memory of another one only
    /// if theirs are equal.
    pub(crate) fn run_digest(&self) -> u128 {
        let content = self.content().to_string();
        let host = &self.route.host;
        let (method, generation) = (self.method.as_str(), &self.ask.generation);
        digest(&[&self.service, host, method, generation, &content])
    }

    /// Sets [`Self::suspect_parts`].
    pub(crate) fn with_suspect_parts(mut self) -> Self {
        let shared = self.ask.shared_parts.iter();
        let shared = shared.map(|part| PartKey::new(&self.service, part));
        let whole = PartKey::of_request(self.content());
        self.suspect_parts = shared.take(PARTS_MAX - 1).chain([whole]).collect();
        self
    }

    /// What is logged about an attempt that had no answer and failed after `elapsed`.
    pub(crate) fn failed_attempt<'a>(
        &'a self,
        target: &'a str,
        reason: &'a str,
        elapsed: Duration,
    ) -> FailedAttempt<'a> {
        FailedAttempt {
            id: &self.ask.id,
            route: &self.route.name,
            account: self.account.as_deref().unwrap_or_default(),
            target,
            reason,
            parts: &self.ask.prompt_parts,
            elapsed,
            begun: None,
            events: 0,
            alive: None,
        }
    }

    /// Builds the request of one attempt.
    pub(crate) fn attempt(
        &self,
        dialect: &Dialect,
        attempt: &AttemptHead<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.uri_mut() = Uri::from(self.path.clone());
        let mut headers = self.headers.clone();
        (dialect.write_attempt)(&mut headers, attempt);
        *request.headers_mut() = headers;
        request
    }
}
