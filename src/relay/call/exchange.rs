//! One attempt of a call: a request to its target and the response.

use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::{AttemptResult, Exchange, LONG_BODY_BYTES, implies_not_run};
use crate::relay::connections::{Connection, GONE_AT_END, SendError, ends_with_connection};
use crate::relay::dialect::AttemptHead;
use crate::relay::limits::Purpose;
use crate::relay::rules::Kind;
use crate::routing::Lease;

impl Exchange<'_> {
    pub(super) async fn attempt(&self, lease: &Lease) -> AttemptResult {
        let relay = self.relay;
        // Calls that may run only once always use a new connection: a late response to an earlier
        // request on a reused one would fail them, and they cannot be retried.
        // So do further attempts: the connections that were idle may have fallen silent together.
        let reuse_for = match self.request.route.kind {
            Kind::Idempotent if self.purpose == Purpose::First => {
                Some(self.request.ask.id.as_str())
            }
            _ => None,
        };
        let Ok(connection) = relay.pool.acquire(lease.key, lease.addr, reuse_for).await else {
            return AttemptResult::Unsent;
        };
        self.is_reused
            .store(connection.is_reused(), Ordering::Relaxed);
        match connection.is_reused() {
            true => match self.exchange(connection, lease).await {
                // The target closed the idle connection, which says nothing about its health.
                AttemptResult::Unsent => {
                    match relay.pool.acquire(lease.key, lease.addr, None).await {
                        Ok(connection) => self.exchange(connection, lease).await,
                        Err(_) => AttemptResult::Unsent,
                    }
                }
                result => result,
            },
            false => self.exchange(connection, lease).await,
        }
    }

    async fn exchange(&self, mut connection: Connection, lease: &Lease) -> AttemptResult {
        let request = self.request;
        let dialect = &self.relay.dialect;
        let name = lease.name();
        let rules = self.relay.rules();
        let attempt = AttemptHead {
            id: &request.ask.id,
            time_left: Some(request.left(Instant::now())),
            target: &name,
            account: request.account.as_deref(),
            urgency: request.urgency(rules.as_deref()),
            last_event: None,
            backup: None,
            resume_from: None,
        };
        if !self.relay.still_takes(lease.key) {
            return AttemptResult::Withheld;
        }
        if !self.relay.has_time_for(request) {
            return AttemptResult::TooLate;
        }
        self.relay.record_sent(lease.key, self.purpose);
        let sent = Instant::now();
        let response = match connection.send(request.attempt(dialect, &attempt)).await {
            Ok(response) => response,
            Err(SendError::Unsent) => return AttemptResult::Unsent,
            Err(SendError::Lost(reason)) => return AttemptResult::Lost(reason),
        };
        let (mut parts, body) = response.into_parts();
        let head = (dialect.parse_response)(&request.ask.id, parts.status, &parts.headers);
        let success = parts.status.is_success();
        self.relay
            .observe_notice(lease, &head, &connection, sent.into_std());
        match head {
            head if head.mismatched => return AttemptResult::Lost("answer to another request"),
            // It may be a late response to an earlier request on this connection.
            head if connection.is_reused() && !head.has_id => {
                return AttemptResult::Lost("answer to no request");
            }
            head if head.encoded => return AttemptResult::Lost("encoded answer"),
            head if success && !head.signed => return AttemptResult::Lost("unsigned answer"),
            _ => {}
        }
        let is_unframed = ends_with_connection(&parts.headers, &body);
        let body = match self.relay.buffers.collect(body).await {
            Ok(body) => body,
            Err(e) => return AttemptResult::Lost(e.reason()),
        };
        if is_unframed && !self.relay.has_outlived_answer(lease).await {
            return AttemptResult::Lost(GONE_AT_END);
        }
        if head.misdirected {
            return AttemptResult::Misdirected;
        }
        if !head.not_run && implies_not_run(parts.status) {
            return AttemptResult::Lost("refused without a promise");
        }
        // A target may refuse a request before it has read a long body.
        let is_unread = head.not_run && request.body.len() > LONG_BODY_BYTES;
        if !head.close && !is_unread {
            let id = &request.ask.id;
            let pool = &self.relay.pool;
            pool.release(lease.key, connection, id, head.keep_alive);
        }
        if head.not_run {
            return AttemptResult::Declined;
        }
        (dialect.strip_response)(&mut parts.headers);
        AttemptResult::Response((parts, body))
    }
}
