//! Processor time and memory of the process, read from `/proc` when the page is rendered.

use std::fmt;
use std::fs;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

/// Clock ticks per second in `/proc/self/stat`; Linux fixes it at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// The position of the user time after the process's name in `/proc/self/stat`.
const USER_TIME_FIELD: usize = 11;
/// The position of the system time after the process's name in `/proc/self/stat`.
const SYSTEM_TIME_FIELD: usize = 12;
/// Bytes in a kibibyte, the unit of `/proc/self/status`.
const KIBIBYTE: i64 = 1024;

/// Reads the process's figures for each page; shows none where there is no `/proc`.
#[derive(Debug)]
pub(super) struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        if let Some(seconds) = processor_seconds() {
            let counter = ConstCounter::new(seconds);
            let help = "Processor time of the process, user and system";
            let descriptor = encoder.encode_descriptor(
                "process_cpu",
                help,
                Some(&Unit::Seconds),
                counter.metric_type(),
            )?;
            counter.encode(descriptor)?;
        }
        if let Some(bytes) = resident_bytes() {
            let gauge = ConstGauge::new(bytes);
            let help = "Resident memory of the process";
            let descriptor = encoder.encode_descriptor(
                "process_resident_memory",
                help,
                Some(&Unit::Bytes),
                gauge.metric_type(),
            )?;
            gauge.encode(descriptor)?;
        }
        Ok(())
    }
}

fn processor_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in parentheses may hold spaces; the fields after it may not.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn resident_bytes() -> Option<i64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: i64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes * KIBIBYTE)
}
