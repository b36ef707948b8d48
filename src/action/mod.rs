//! Actions that must not repeat: claim, send, outcome.
