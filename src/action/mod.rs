//! Calls of plain services, for the requests under `/services` of an entry instance: once a call is
//! authenticated and admitted, this module picks a target, sends it and returns the response.
//!
//! Calls that may be repeated are retried at other targets within a retry budget. A non-repeatable
//! action runs at most once across all instances: before an attempt sends it, it writes a claim, an
//! object at the platform, and the outcome is stored there for repeats. See docs/design/actions.md.

mod actions;
mod attempt;
mod breaker;
mod cache;
mod call;
mod claim;
mod contend;
mod deferred;
mod event;
mod in_flight;
mod outcome;
mod params;
mod rate_limiter;
mod record;
mod safe;
mod sweep;
mod verdict;
mod watermarks;

pub use actions::Actions;
pub use breaker::CircuitBreaker;
pub use call::{Call, ChooseTarget, ChosenTarget, Hook, Point, TargetQuery, TargetResult};
pub use claim::Claim;
pub use deferred::DeferredWrite;
pub use event::{Cause, Command, Event, Verdict};
pub use outcome::{OUTCOME_LIMIT, Outcome};
pub use params::{Limits, Now, Params, StoredClaim};
pub use rate_limiter::RateLimiter;
pub use record::{CLAIM_KIND, Record, Stage, claim_name};
pub use sweep::{Decision, LiveInstances, Retention, Sweeper};
pub use watermarks::{ChangeTimer, MAX_WATERMARKS, Watermarks};
