//! Choice of a target.
