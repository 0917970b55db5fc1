//! What control work costs, by subsystem: the figures behind the control budget.

use std::time::Instant;

use super::counters::LabelledCounters;
use super::labels::ControlSubsystem;

/// Bytes and time of control work. Clones share the numbers.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// Bytes of message bodies sent.
    pub bytes_sent: LabelledCounters<ControlSubsystem>,
    /// Bytes of message bodies received.
    pub bytes_received: LabelledCounters<ControlSubsystem>,
    /// Nanoseconds spent in control work between two waits. An upper bound of the processor time,
    /// since a thread that was interrupted meanwhile is counted too.
    pub busy: LabelledCounters<ControlSubsystem>,
}

impl Default for ControlMetrics {
    fn default() -> Self {
        Self {
            bytes_sent: LabelledCounters::counters(),
            bytes_received: LabelledCounters::counters(),
            busy: LabelledCounters::nanosecond_counters(),
        }
    }
}

impl ControlMetrics {
    /// Counts a message body sent.
    pub fn count_sent(&self, subsystem: ControlSubsystem, bytes: usize) {
        self.bytes_sent.add(subsystem, bytes as u64);
    }

    /// Counts a message body received.
    pub fn count_received(&self, subsystem: ControlSubsystem, bytes: usize) {
        self.bytes_received.add(subsystem, bytes as u64);
    }

    /// Counts the time until the returned timer is dropped. Don't hold it over an `await`.
    #[must_use]
    pub fn time(&self, subsystem: ControlSubsystem) -> ControlTimer<'_> {
        ControlTimer {
            busy: &self.busy,
            subsystem,
            began: Instant::now(),
        }
    }
}

/// Counts the time from its making to its dropping.
#[derive(Debug)]
pub struct ControlTimer<'a> {
    busy: &'a LabelledCounters<ControlSubsystem>,
    subsystem: ControlSubsystem,
    began: Instant,
}

impl Drop for ControlTimer<'_> {
    fn drop(&mut self) {
        let nanoseconds = u64::try_from(self.began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.busy.add(self.subsystem, nanoseconds);
    }
}
