//! Memory of this process.

use std::fs;

/// Resident memory in KiB as the system counts it; `None` if it does not tell.
///
/// Source: `VmRSS` in proc_pid_status(5).
pub(crate) fn resident_kb() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
