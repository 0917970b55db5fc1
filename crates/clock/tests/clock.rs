//! The clock never goes back, and includes the time for which the machine is suspended.

use std::time::Duration;

use driftspring_clock::{Instant, simulate_suspension};
use quickcheck::quickcheck;

#[test]
fn a_suspension_and_the_time_after_it_are_included() {
    let before = Instant::now();
    let standard = std::time::Instant::now();
    simulate_suspension(Duration::from_secs(8));
    std::thread::sleep(Duration::from_millis(20));
    let elapsed = before.elapsed();
    assert!(elapsed >= Duration::from_millis(8020), "{elapsed:?}");
    assert!(elapsed <= Duration::from_secs(8) + standard.elapsed() + Duration::from_millis(1));
}

#[test]
fn a_moment_before_the_boot_can_be_represented() {
    let year = Duration::from_secs(365 * 24 * 3600);
    let now = Instant::now();
    let before = now.checked_sub(year).expect("a moment before the boot");
    assert_eq!(now - before, year);
}

quickcheck! {
    fn moments_add_and_subtract_like_durations(steps: Vec<u16>) -> bool {
        let start = Instant::now();
        let mut moment = start;
        let mut sum = Duration::ZERO;
        for step in steps {
            let step = Duration::from_millis(u64::from(step));
            moment += step;
            sum += step;
        }
        moment - start == sum
            && moment.checked_sub(sum) == Some(start)
            && start.saturating_duration_since(moment).is_zero()
            && start + sum == moment
    }
}
