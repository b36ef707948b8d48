//! The text of every token: a pure function that is the same in all engines.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Text of token `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!(" w{:08x}", hash as u32)
}

/// Number of tokens and reason with which the answer to `prompt` ends.
#[must_use]
pub fn length(prompt: &str, max: u64) -> (u64, &'static str) {
    let stop = prompt
        .split_once("[stop=")
        .and_then(|(_, rest)| rest.split_once(']'))
        .and_then(|(n, _)| n.parse::<u64>().ok());
    match stop {
        Some(n) if n <= max => (n, "stop"),
        _ => (max, "length"),
    }
}
