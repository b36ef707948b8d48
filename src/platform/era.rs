//! The era of a platform's state, which increases when the platform is restored from a copy.
//! Revisions are comparable only within one era.

use std::sync::atomic::{AtomicBool, Ordering};

use slog::{Discard, Logger, o, warn};
use tokio::sync::watch;

use super::Error;

/// The era that a response states; `None` when it states none.
pub type StatedEra = Option<Result<u64, String>>;

/// The latest known era of one platform.
#[derive(Debug)]
pub(super) struct Eras {
    latest: watch::Sender<Option<u64>>,
    log: Logger,
    /// Whether a response without an era, with an unreadable and with a lower one were reported.
    reported: [AtomicBool; 3],
}

impl Default for Eras {
    fn default() -> Self {
        Self::new(Logger::root(Discard, o!()))
    }
}

impl Eras {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            latest: watch::Sender::new(None),
            log,
            reported: Default::default(),
        }
    }

    /// The latest known era.
    pub(super) fn latest(&self) -> Option<u64> {
        *self.latest.borrow()
    }

    /// Records an era that a response or another instance stated.
    pub(super) fn learn(&self, era: Option<u64>) {
        self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
    }

    /// Waits until an era later than `known` is known. The first one known is not later.
    pub(super) async fn later_than(&self, known: Option<u64>) {
        let mut latest = self.latest.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = latest.wait_for(|latest| is_restored(known, *latest)).await;
    }

    /// Records the era of a response to a request that was sent when `sent` was the latest one.
    ///
    /// # Errors
    /// When the response is late: of an earlier era than became known since it was requested.
    pub(super) fn observe(&self, sent: Option<u64>, stated: StatedEra) -> Result<(), Error> {
        let latest = self.latest();
        match stated {
            None if latest.is_some() => self.report(0, "missing", ""),
            None => {}
            Some(Err(value)) => self.report(1, "not a number", &value),
            Some(Ok(era)) if latest.is_none_or(|latest| era >= latest) => self.learn(Some(era)),
            Some(Ok(_)) if sent != latest => {
                return Err(Error::Unknown("it is of an earlier era".into()));
            }
            Some(Ok(era)) => self.report(2, "lower than before", &era.to_string()),
        }
        Ok(())
    }

    fn report(&self, kind: usize, error: &str, value: &str) {
        if !self.reported[kind].swap(true, Ordering::Relaxed) {
            warn!(self.log, "platform: era ignored; revisions alone decide";
                "error" => error, "value" => value, "era" => self.latest());
        }
    }
}

/// Whether the platform was restored between the times at which `before` and `after` were the
/// latest known eras.
pub(crate) fn is_restored(before: Option<u64>, after: Option<u64>) -> bool {
    before.is_some() && after > before
}

#[cfg(test)]
mod tests {
    use super::*;

    fn eras(latest: u64) -> Eras {
        let eras = Eras::default();
        eras.learn(Some(latest));
        eras
    }

    #[test]
    fn late_response_is_refused_and_later_era_is_kept() {
        let eras = eras(1);
        let sent = eras.latest();
        eras.observe(sent, Some(Ok(3))).unwrap();

        let late = eras.observe(sent, Some(Ok(2)));

        assert!(late.is_err());
        assert_eq!(eras.latest(), Some(3));
    }

    #[test]
    fn response_without_a_usable_era_is_used() {
        let eras = eras(5);
        let sent = eras.latest();

        for stated in [None, Some(Err("x".into())), Some(Ok(4)), Some(Ok(0))] {
            eras.observe(sent, stated).unwrap();
        }

        assert_eq!(eras.latest(), Some(5));
    }

    // Guards against a list from before a restore that is taken for the new era's at the start.
    #[test]
    fn response_of_an_earlier_era_is_late_also_before_the_first_one_was_known() {
        let eras = Eras::default();
        let sent = eras.latest();
        eras.learn(Some(3));

        let late = eras.observe(sent, Some(Ok(2)));

        assert!(late.is_err());
    }

    #[test]
    fn first_era_is_no_restore() {
        assert!(!is_restored(None, Some(4)));
        assert!(!is_restored(Some(4), Some(4)));
        assert!(is_restored(Some(4), Some(5)));
    }
}
