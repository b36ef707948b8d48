//! What is recorded as a stream ends.

use super::Stream;
use crate::relay::record::Outcome;

impl Stream {
    /// Records how long a stream lasted, if all of it came from this instance.
    pub(super) fn record_duration(&self) {
        let request = &self.request;
        if request.ask.last_event.is_none() {
            let (service, tokens) = (&request.service, request.output_tokens());
            let time = request.arrived.elapsed();
            self.relay.stream_durations.record(service, tokens, time);
        }
    }

    pub(super) fn log_end(&self, status: u16, reason: &str) {
        let request = &self.request;
        self.relay.decisions.answered(&Outcome {
            id: &request.ask.id,
            route: &request.route.name,
            service: &request.service,
            rules: request.rules,
            target: &self.target,
            attempts: self.runs + self.declined,
            status,
            reason,
            elapsed: request.arrived.elapsed(),
        });
    }
}
