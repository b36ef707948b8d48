//! Checks that the events of a run continue the stream that the caller has received so far.

use crate::relay::events::Event;
use crate::relay::stall::Loss;

/// What is done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// The caller gets it.
    Forward,
    /// The caller has it already.
    Repeated,
    /// A comment, such as a keep-alive.
    Comment,
}

/// What earlier runs have shown of the events that the caller does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Rest {
    #[default]
    Unknown,
    /// A run ended without an event.
    Empty,
    /// A run was cut inside an event.
    Cut,
}

/// Position of one run in the stream.
#[derive(Debug)]
pub(super) struct Sequence {
    /// Whether the response head states that it is an event stream.
    is_stated: bool,
    /// Id of the run's last event.
    last: Option<u64>,
}

impl Sequence {
    pub(super) fn new(is_stated: bool) -> Self {
        Self {
            is_stated,
            last: None,
        }
    }

    /// Whether the run has sent an event.
    pub(super) fn has_begun(&self) -> bool {
        self.last.is_some()
    }

    /// Adds the run's next event. `received` is the last one that the caller has.
    pub(super) fn accept(&mut self, event: &Event, received: Option<u64>) -> Result<Next, Loss> {
        let id = match event.id {
            Some(id) => id,
            None if event.is_comment() => return Ok(Next::Comment),
            None => return Err(Loss::Broken("event without an id")),
        };
        let next = self.last.or(received).map(|last| last.saturating_add(1));
        // The first event of a stream may have any id.
        if next.is_some_and(|next| id > next) {
            return Err(Loss::Broken("an event is missing"));
        }
        if self.last.is_some_and(|last| id <= last) {
            return Err(Loss::Broken("an event is repeated"));
        }
        self.last = Some(id);
        match received {
            Some(received) if id <= received => Ok(Next::Repeated),
            _ => Ok(Next::Forward),
        }
    }

    /// Checks the clean end of the run. Without an event it is the end of the stream only if another
    /// run has ended in the same way.
    pub(super) fn end(&self, received: Option<u64>, rest: &mut Rest) -> Result<(), Loss> {
        match self.last {
            Some(_) if self.last == received => Ok(()),
            Some(_) => Err(Loss::Broken("answer ended before the caller's last event")),
            None if received.is_none() || !self.is_stated || *rest == Rest::Cut => {
                Err(Loss::Broken("answer without an event"))
            }
            None if *rest == Rest::Empty => Ok(()),
            None => {
                *rest = Rest::Empty;
                Err(Loss::Broken("answer without further events"))
            }
        }
    }
}
