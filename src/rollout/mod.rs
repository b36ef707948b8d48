//! Moves of traffic between versions: evidence and verdicts.
