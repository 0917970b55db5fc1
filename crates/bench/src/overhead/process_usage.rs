//! Processor time and memory of another process, from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat` between the end of the program's name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// The processor time that the process `id` has used, in user and kernel mode.
pub(super) fn processor_time(id: u32) -> anyhow::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).context("read /proc")?;
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let ticks: f64 = fields
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// The resident memory of the process `id`, in bytes.
pub(super) fn resident_bytes(id: u32) -> anyhow::Result<u64> {
    const KIB: u64 = 1024;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).context("read /proc")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.context("no VmRSS in /proc")? * KIB)
}
