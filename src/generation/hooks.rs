//! Interface between generations and the rest of the instance: choice of targets, observations
//! about them, the retry budget and admission.

use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use smol_str::SmolStr;

use super::run::GenerationRequest;
use super::state::Loss;
use crate::failure::Failure;

/// A target's name and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Address of its engine API.
    pub addr: SocketAddr,
}

/// Criteria for the choice of a target.
#[derive(Debug)]
pub struct TargetQuery<'a> {
    /// The request that the attempt serves.
    pub request: &'a GenerationRequest,
    /// Targets that were lost or that refused this generation.
    pub excluded: &'a [SmolStr],
    /// The request may have crashed a target, so it must not share one with another suspect.
    pub isolate: bool,
    /// The attempt continues after tokens that were already delivered.
    pub resumes: bool,
}

/// A chosen target; dropping the guard ends its in-flight accounting.
pub struct Lease {
    /// The target.
    pub target: Target,
    /// Accounts for the attempt as in flight until dropped.
    pub guard: Box<dyn Any + Send>,
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Lease({:?})", self.target)
    }
}

/// An observation about a target and its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Time from the start to the first token.
    FirstToken(Duration),
    /// Time between two tokens.
    Gap(Duration),
    /// Mean time between the tokens of an attempt, once per attempt that has enough gaps.
    MeanGap(Duration),
    /// The target exceeded its silence timeout and is being probed.
    Suspected,
    /// Time between the last token before a loss and the first after it.
    Resumed(Duration),
    /// The engine ended the attempt with an error.
    EngineError,
    /// The engine refused the attempt.
    Refused,
    /// The attempt completed its answer.
    Completed,
    /// Time from the start of a generation that began here to its complete answer.
    Lasted(Duration),
    /// The target was lost.
    Lost(Loss),
}

/// Ends a generation's admission and takes the number of its tokens. Dropping it ends the admission
/// too.
pub type Release = Box<dyn FnOnce(u64) + Send>;

/// Admits a request. The flag marks a running generation that is being taken over: it is counted
/// but never refused.
pub type Admit =
    dyn Fn(&GenerationRequest, bool) -> BoxFuture<'static, Result<Release, Failure>> + Send + Sync;

/// The admission check of new generations.
pub(crate) struct AdmissionCheck(pub(crate) Box<Admit>);

impl fmt::Debug for AdmissionCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdmissionCheck")
    }
}

type ChooseFn = dyn Fn(&TargetQuery<'_>) -> Result<Lease, Failure> + Send + Sync;
type ObserveFn = dyn Fn(&GenerationRequest, &Target, Observation) + Send + Sync;
type RetryFn = dyn Fn(&GenerationRequest) -> bool + Send + Sync;

/// Callbacks of generations.
pub struct Hooks {
    /// Chooses a target of the request's version.
    pub choose: Box<ChooseFn>,
    /// Receives the observations about targets.
    pub observe: Box<ObserveFn>,
    /// Whether the retry budgets allow another attempt of a request without delivered tokens.
    pub retry: Box<RetryFn>,
}

impl Hooks {
    /// Chooses by `choose`, observes nothing and allows every retry.
    #[must_use]
    pub fn with_choose(
        choose: impl Fn(&TargetQuery<'_>) -> Result<Lease, Failure> + Send + Sync + 'static,
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
