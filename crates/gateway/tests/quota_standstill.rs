//! The usage of a group as seen by a gateway whose process stood still.
//!
//! Guards against a fault found by review: reports that had waited in the socket of such a gateway were
//! treated as sent when they were read. If their leader was gone by then, its group counted as reporting
//! again. What had been assumed for the silence was then returned as unused although the group had kept
//! admitting, and the gateway admitted up to a burst too much.

use std::time::Duration;

use driftspring_gateway::peers::message::WireTotals;
use driftspring_gateway::quota::group_use::{GroupReport, ReportedUsage};

/// What the group requests and admits per millisecond.
const PER_MS: u64 = 10;

/// The interval between two reports, and their delay.
const REPORT_MS: u64 = 50;
const DELAY_MS: u64 = 3;

/// When the gateway freezes, when the leader sends its last report, and when the gateway resumes.
const FREEZE_MS: u64 = 1900;
const LAST_REPORT_MS: u64 = 2000;
const RESUME_MS: u64 = 5000;

/// Longer than the time in which resumed reports may account for a silence (0.25 s), shorter than the silence
/// timeout (0.5 s).
const AFTER_RESUME_MS: u64 = 300;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Applies at `now_ms` the report that this leader sent at `sent_ms`; returns what was admitted beyond what
/// is known.
fn apply_report(group: &mut ReportedUsage, leader: u64, sent_ms: u64, now_ms: u64) -> f64 {
    let totals = WireTotals {
        tenant: 1,
        asked: sent_ms * PER_MS,
        admitted: sent_ms * PER_MS,
        asked_before: 0,
        admitted_before: 0,
    };
    let report = GroupReport {
        group: 1,
        leader,
        sent: Some(ms(sent_ms)),
    };
    group.apply_report(ms(now_ms), &report, Some(&totals))
}

/// A group whose leader reported until this gateway froze, and whose last reports are read after the gateway
/// has resumed. Also returns the usage assumed and reported since the gateway froze.
fn group_after_standstill() -> (ReportedUsage, f64) {
    let mut group = ReportedUsage::default();
    for sent_ms in (0..FREEZE_MS).step_by(REPORT_MS as usize) {
        apply_report(&mut group, 1, sent_ms, sent_ms + DELAY_MS);
    }
    let mut used = group.assume_usage(ms(RESUME_MS));
    for sent_ms in (FREEZE_MS..=LAST_REPORT_MS).step_by(REPORT_MS as usize) {
        used += apply_report(&mut group, 1, sent_ms, RESUME_MS);
    }
    (group, used)
}

#[test]
fn delayed_reports_do_not_end_the_silence_of_a_leader() {
    let (mut group, mut used) = group_after_standstill();
    used += group.assume_usage(ms(RESUME_MS + AFTER_RESUME_MS));
    // The group continued as before; nothing is assumed for the first half second.
    let silence_ms = RESUME_MS + AFTER_RESUME_MS - FREEZE_MS - 500;
    let least = 0.9 * (silence_ms * PER_MS) as f64;
    assert!(used >= least, "{used:.0} of {least:.0} at the least");
}

#[test]
fn reports_after_a_silence_account_for_it() {
    let (mut group, mut used) = group_after_standstill();
    for sent_ms in (RESUME_MS..RESUME_MS + AFTER_RESUME_MS).step_by(REPORT_MS as usize) {
        // It admitted nothing during the silence.
        let totals = WireTotals {
            tenant: 1,
            asked: LAST_REPORT_MS * PER_MS,
            admitted: LAST_REPORT_MS * PER_MS,
            asked_before: 0,
            admitted_before: 0,
        };
        let report = GroupReport {
            group: 1,
            leader: 1,
            sent: Some(ms(sent_ms)),
        };
        used += group.apply_report(ms(sent_ms + DELAY_MS), &report, Some(&totals));
    }
    used += group.assume_usage(ms(RESUME_MS + AFTER_RESUME_MS));
    let reported = (LAST_REPORT_MS - FREEZE_MS + REPORT_MS) * PER_MS;
    let difference = (used - reported as f64).abs();
    assert!(difference < 1.0, "{used:.0}, {reported} were reported");
}
