//! Which gateways rewrite their entries after the store was restored from a copy, and when.

use std::time::Duration;

use driftspring_gateway::store::own_entry::{
    MAX_COPY_AGE, MAX_WRITE_SPREAD, MISSING_ENTRY_GRACE, is_missing_entry_tolerated,
    may_be_missing, write_delay,
};
use quickcheck::{TestResult, quickcheck};

/// The time after the store's restore within which all entries must be back.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The age of the oldest copy used in drills.
const OLDEST_COPY: Duration = Duration::from_secs(20);

/// The length of the time slices in which writes are counted.
const SLICE: Duration = Duration::from_millis(100);

quickcheck! {
    fn an_entry_missing_from_a_copy_is_rewritten(written_ago_ms: u64, age_ms: u16) -> TestResult {
        let age = Duration::from_millis(u64::from(age_ms)).min(OLDEST_COPY);
        let written_ago = Duration::from_millis(written_ago_ms % 120_000);
        if written_ago > age {
            return TestResult::discard();
        }
        TestResult::from_bool(may_be_missing(written_ago))
    }

    fn old_entries_are_not_rewritten(written_ago_ms: u32) -> bool {
        !may_be_missing(MAX_COPY_AGE + Duration::from_millis(u64::from(written_ago_ms)))
    }

    fn every_write_delay_is_within_the_recovery_time(name: String, gateways: u16) -> bool {
        let delay = write_delay(&name, usize::from(gateways));
        delay <= MAX_WRITE_SPREAD && MAX_WRITE_SPREAD < RECOVERY_TIME
    }

    fn a_missing_gateway_is_tolerated_within_the_grace_period(delay_ms: u16) -> bool {
        let ago = Duration::from_millis(u64::from(delay_ms));
        is_missing_entry_tolerated(Some(ago)) == (ago < MISSING_ENTRY_GRACE) && !is_missing_entry_tolerated(None)
    }
}

#[test]
fn writes_of_hundreds_of_gateways_are_spread_over_time() {
    for gateways in [8_usize, 295, 985] {
        let delays =
            (0..gateways).map(|number| write_delay(&format!("gateway-{number}"), gateways));
        let mut in_slices = std::collections::BTreeMap::new();
        for delay in delays {
            *in_slices
                .entry(delay.as_millis() / SLICE.as_millis())
                .or_insert(0_usize) += 1;
        }
        let most = in_slices.values().max().copied().unwrap_or(0);
        println!("{gateways} gateways: {most} writes in the fullest {SLICE:?}, {in_slices:?}");
        // At most twice as many as with an even spread over the period; 40 are always accepted.
        let slices = (MAX_WRITE_SPREAD.as_millis() / SLICE.as_millis()) as usize;
        assert!(
            most <= (gateways * 2 / slices).max(20 * 2),
            "{gateways}: {most}"
        );
    }
}
