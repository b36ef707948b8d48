//! A bounded number of account labels for metrics.

use std::collections::HashSet;

use parking_lot::Mutex;
use smol_str::SmolStr;

/// Label of all accounts that have none of their own.
const OTHER: SmolStr = SmolStr::new_static("other");

/// Gives the first accounts that ask a label of their own.
///
/// A quarter of the labels is kept for accounts with a weight above 1.
#[derive(Debug)]
pub struct Labels {
    max: usize,
    named: Mutex<HashSet<SmolStr>>,
}

impl Labels {
    /// At most `max` labels besides `other`.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            named: Mutex::default(),
        }
    }

    /// The label of `account`.
    pub fn label(&self, account: &SmolStr, weight: u32) -> SmolStr {
        let room = match weight {
            0 | 1 => self.max - self.max / 4,
            _ => self.max,
        };
        let mut named = self.named.lock();
        match named.contains(account) {
            true => account.clone(),
            false if named.len() < room => {
                named.insert(account.clone());
                account.clone()
            }
            false => OTHER,
        }
    }
}
