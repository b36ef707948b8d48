//! Fair shares, priorities and early refusals.
