//! The view in force, which never goes backwards.

use std::sync::Arc;

use tokio::sync::watch;

use super::View;

/// Holds the view in force and tells its readers of changes.
#[derive(Debug)]
pub struct Store {
    view: watch::Sender<Arc<View>>,
}

impl Store {
    /// An empty view at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            view: watch::Sender::new(Arc::default()),
        }
    }

    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Follows the view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}
