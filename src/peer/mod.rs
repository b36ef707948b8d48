//! Messages between instances over h2.
