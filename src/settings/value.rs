//! Texts of values: durations, sizes, names, digests.

use std::time::Duration;

use super::LogFormat;

/// A duration: a whole number and `ms`, `s`, `m` or `h`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = split(text)?;
    let millis = match unit {
        "ms" => Some(number),
        "s" => number.checked_mul(1_000),
        "m" => number.checked_mul(60_000),
        "h" => number.checked_mul(3_600_000),
        _ => None,
    }?;
    (millis > 0).then(|| Duration::from_millis(millis))
}

/// A number of bytes: a whole number and `B`, `KiB`, `MiB` or `GiB`.
pub(crate) fn bytes(text: &str) -> Option<usize> {
    let (number, unit) = split(text)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    let size = number.checked_mul(factor)?;
    usize::try_from(size).ok().filter(|size| *size > 0)
}

/// A count above zero.
pub(crate) fn count(text: &str) -> Option<usize> {
    text.parse().ok().filter(|count| *count > 0)
}

/// A name of letters, digits, `-`, `_` and `.`, at most 64 long.
pub(crate) fn name(text: &str) -> Option<smol_str::SmolStr> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let fits = !text.is_empty() && text.len() <= 64 && text.chars().all(plain);
    fits.then(|| text.into())
}

/// A hex SHA-256, in lower case.
pub(crate) fn sha256(text: &str) -> Option<smol_str::SmolStr> {
    let fits = text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit());
    fits.then(|| text.to_ascii_lowercase().into())
}

/// A log format.
pub(crate) fn format(text: &str) -> Option<LogFormat> {
    match text {
        "human" => Some(LogFormat::Human),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}

/// A log level.
pub(crate) fn level(text: &str) -> Option<slog::Level> {
    match text {
        "trace" => Some(slog::Level::Trace),
        "debug" => Some(slog::Level::Debug),
        "info" => Some(slog::Level::Info),
        "warning" => Some(slog::Level::Warning),
        "error" => Some(slog::Level::Error),
        "critical" => Some(slog::Level::Critical),
        _ => None,
    }
}

fn split(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    Some((number.parse().ok()?, unit.trim_start()))
}
