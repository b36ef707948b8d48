//! Instances and targets, leaving, and orders.
