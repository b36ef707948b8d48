//! What generations ask of the parts around them.

use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use smol_str::SmolStr;

use super::run::Start;
use super::state::Loss;
use crate::failure::Failure;

/// A target as generations see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Address of its engine API.
    pub addr: SocketAddr,
}

/// What a target is wanted for.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The request.
    pub start: &'a Start,
    /// Targets that were lost or refused it.
    pub excluded: &'a [SmolStr],
    /// It may have crashed a target: keep it away from other suspects.
    pub isolate: bool,
    /// It goes on after tokens were delivered.
    pub resumes: bool,
}

/// A chosen target, and what counts it as in flight until dropped.
pub struct Lease {
    /// The target.
    pub target: Target,
    /// Dropped when the attempt is over.
    pub guard: Box<dyn Any + Send>,
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Lease({:?})", self.target)
    }
}

/// Something learnt about a target and its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Time from the start to the first token.
    FirstToken(Duration),
    /// Time between two tokens.
    Gap(Duration),
    /// Mean time between the tokens of an attempt, once for each attempt that has enough.
    Pace(Duration),
    /// It was silent for longer than its limit, and is asked.
    Suspected,
    /// Time between the last token before a loss and the first after it.
    Resumed(Duration),
    /// The engine ended the attempt with an error.
    Faulted,
    /// The engine refused the attempt.
    Refused,
    /// The attempt ended whole.
    Ended,
    /// The target was lost.
    Lost(Loss),
}

/// Ends a generation's admission; it is told the number of tokens. Dropping it ends it too.
pub type Release = Box<dyn FnOnce(u64) + Send>;

/// Admits a request; the flag says that it runs already and is taken over, so that it is counted
/// but never refused.
pub type Admit = dyn Fn(&Start, bool) -> BoxFuture<'static, Result<Release, Failure>> + Send + Sync;

/// The gate before new generations.
pub(crate) struct Gate(pub(crate) Box<Admit>);

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Gate")
    }
}

type ChooseFn = dyn Fn(&Choice<'_>) -> Result<Lease, Failure> + Send + Sync;
type ObserveFn = dyn Fn(&Start, &Target, Observation) + Send + Sync;
type RetryFn = dyn Fn(&Start) -> bool + Send + Sync;

/// The closures that generations call.
pub struct Hooks {
    /// Chooses a target of the request's version.
    pub choose: Box<ChooseFn>,
    /// Is told what was learnt about a target.
    pub observe: Box<ObserveFn>,
    /// Whether the budgets allow another attempt of a request that nobody has seen tokens of.
    pub retry: Box<RetryFn>,
}

impl Hooks {
    /// Chooses by `choose`, observes nothing and allows every retry.
    #[must_use]
    pub fn choosing(
        choose: impl Fn(&Choice<'_>) -> Result<Lease, Failure> + Send + Sync + 'static,
    ) -> Self {
        Self {
            choose: Box::new(choose),
            observe: Box::new(|_, _, _| {}),
            retry: Box::new(|_| true),
        }
    }
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hooks")
    }
}
