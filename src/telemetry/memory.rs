//! Memory of this process.

use std::fs;

/// Resident memory in bytes as the system counts it; `None` if it does not tell.
///
/// Source: `VmRSS` in proc_pid_status(5).
pub(crate) fn resident() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kibibytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
