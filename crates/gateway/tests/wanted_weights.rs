//! The time since which weights are wanted, and how long older ones may serve.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::protocol::ModelVersion;
use driftspring_gateway::store::initial_weights_age;
use driftspring_gateway::weights::{Since, WantedWeights};

fn weights(version: u64) -> ModelVersion {
    ModelVersion {
        model: "model".to_owned(),
        version,
    }
}

#[test]
fn each_version_counts_from_its_own_naming() {
    let start = Instant::now();
    let mut wanted = WantedWeights::default();
    assert!(wanted.add(&weights(4), Since::Known(start)));
    assert!(wanted.add(&weights(5), Since::Known(start + Duration::from_secs(4))));
    assert!(!wanted.add(&weights(4), Since::Known(start + Duration::from_secs(5))));
    let now = start + Duration::from_secs(8);
    assert_eq!(
        wanted.outdated_for("model", 3, now),
        Some(Duration::from_secs(8))
    );
    assert_eq!(
        wanted.outdated_for("model", 4, now),
        Some(Duration::from_secs(4))
    );
    assert_eq!(wanted.outdated_for("model", 5, now), None);
    assert_eq!(wanted.newest("model"), Some(5));
}

#[test]
fn time_in_which_the_store_was_down_for_all_does_not_count() {
    let start = Instant::now();
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(2), Since::Known(start));
    wanted.note_store_down(start + Duration::from_secs(6));
    let now = start + Duration::from_secs(7);
    assert_eq!(
        wanted.overdue_for("model", 1, now),
        Some(Duration::from_secs(1))
    );
    assert_eq!(
        wanted.outdated_for("model", 1, now),
        Some(Duration::from_secs(7))
    );
}

#[test]
fn an_older_report_of_an_outage_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(2), Since::Known(start));
    wanted.note_store_down(start + Duration::from_secs(6));
    // An older report of another gateway, or an older call that failed later, changes nothing.
    wanted.note_store_down(start + Duration::from_secs(4));
    let now = start + Duration::from_secs(9);
    assert_eq!(
        wanted.overdue_for("model", 1, now),
        Some(Duration::from_secs(3))
    );
}

#[test]
fn a_gateway_that_has_just_started_may_use_older_weights_only_until_it_is_in_touch() {
    const CONTACT: Duration = Duration::from_millis(3000);
    // The time between the start of the process, from which CONTACT counts, and the start of the gateway's own clock.
    const LOADING: Duration = Duration::from_millis(300);
    const DEADLINE: Duration = Duration::from_secs(8);
    // The minimum time before the deadline at which the last request is sent to older weights.
    const SENDING_MARGIN: Duration = Duration::from_millis(1500);
    let start = Instant::now();
    for listed_after in [0, 50, 500, 1500].map(Duration::from_millis) {
        let mut wanted = WantedWeights::default();
        let age = initial_weights_age(DEADLINE, listed_after);
        let listed_at = start + Duration::from_secs(60) + listed_after;
        wanted.add(&weights(2), Since::Known(listed_at - age));
        let in_touch_at = start + Duration::from_secs(60) + CONTACT - LOADING;
        let age_at = |now| wanted.overdue_for("model", 1, now).expect("outdated");
        assert!(
            age_at(in_touch_at) + SENDING_MARGIN >= DEADLINE,
            "listed {listed_after:?} after the start"
        );
        assert!(age_at(in_touch_at - CONTACT / 2) + SENDING_MARGIN < DEADLINE);
    }
}

#[test]
fn dropped_versions_never_count_as_younger_than_they_are() {
    let start = Instant::now();
    let mut wanted = WantedWeights::default();
    for version in 1..=100 {
        wanted.add(
            &weights(version),
            Since::Known(start + Duration::from_secs(version)),
        );
    }
    let now = start + Duration::from_secs(100);
    let age = wanted.outdated_for("model", 1, now).expect("outdated");
    assert!(age >= Duration::from_secs(98), "{age:?}");
}

#[test]
fn a_daemon_told_all_that_is_remembered_counts_like_the_teller() {
    let start = Instant::now();
    let mut reporter = WantedWeights::default();
    reporter.add(&weights(3), Since::Known(start));
    reporter.add(&weights(4), Since::Known(start + Duration::from_secs(4)));
    let now = start + Duration::from_secs(5);
    let mut restarted = WantedWeights::default();
    for (named, since) in reporter.all() {
        restarted.add(&named, since);
    }
    for version in [1, 2, 3, 4] {
        assert_eq!(
            restarted.outdated_for("model", version, now),
            reporter.outdated_for("model", version, now),
            "weights {version}"
        );
    }
}

#[test]
fn a_known_naming_time_replaces_an_assumed_one_and_not_vice_versa() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(3), Since::Assumed(at(0)));
    wanted.add(&weights(4), Since::Known(at(6)));
    let outdated_for = |wanted: &WantedWeights| wanted.outdated_for("model", 2, at(10));
    assert_eq!(outdated_for(&wanted), Some(Duration::from_secs(10)));
    assert!(!wanted.add(&weights(3), Since::Known(at(5))));
    assert_eq!(outdated_for(&wanted), Some(Duration::from_secs(5)));
    for since in [
        Since::Assumed(at(1)),
        Since::Known(at(2)),
        Since::Known(at(9)),
    ] {
        wanted.add(&weights(3), since);
        assert_eq!(
            outdated_for(&wanted),
            Some(Duration::from_secs(5)),
            "the known time is kept"
        );
    }
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(3), Since::Assumed(at(0)));
    wanted.add(&weights(4), Since::Known(at(2)));
    wanted.add(&weights(3), Since::Known(at(5)));
    assert_eq!(
        outdated_for(&wanted),
        Some(Duration::from_secs(8)),
        "no later than its successor"
    );
}

#[test]
fn an_older_version_that_is_reported_later_counts_from_its_own_naming() {
    let start = Instant::now();
    let now = start + Duration::from_secs(8);
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(4), Since::Known(start + Duration::from_secs(4)));
    assert!(
        !wanted.add(&weights(3), Since::Known(start)),
        "version 4 is newer"
    );
    assert_eq!(
        wanted.outdated_for("model", 2, now),
        Some(Duration::from_secs(8))
    );
    assert_eq!(
        wanted.outdated_for("model", 3, now),
        Some(Duration::from_secs(4))
    );
}

#[test]
fn a_version_is_no_younger_than_its_successors() {
    let start = Instant::now();
    let now = start + Duration::from_secs(8);
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(4), Since::Known(start + Duration::from_secs(2)));
    wanted.add(&weights(3), Since::Known(start + Duration::from_secs(6)));
    assert_eq!(
        wanted.outdated_for("model", 2, now),
        Some(Duration::from_secs(6))
    );
}

#[test]
fn expired_versions_are_dropped() {
    let start = Instant::now();
    let mut wanted = WantedWeights::default();
    wanted.add(&weights(1), Since::Known(start));
    wanted.add(&weights(2), Since::Known(start + Duration::from_secs(1)));
    wanted.add(&weights(3), Since::Known(start + Duration::from_secs(200)));
    let remembered: Vec<u64> = wanted
        .all()
        .iter()
        .map(|(named, _)| named.version)
        .collect();
    assert_eq!(remembered, [2, 3]);
}

const DEADLINE: Duration = Duration::from_secs(8);

#[test]
fn requests_with_a_longer_expected_wait_stop_earlier_on_older_weights() {
    let (mut wanted, start) = (WantedWeights::default(), Instant::now());
    wanted.add(&weights(2), Since::Known(start));
    let may_serve = |after_ms, wait_ms| {
        let now = start + Duration::from_millis(after_ms);
        let wait = Duration::from_millis(wait_ms);
        wanted.may_serve("model", 1, now, DEADLINE, wait)
    };
    assert!(may_serve(6499, 0), "where no wait is known 1.5 s are left");
    assert!(!may_serve(6500, 0));
    assert!(may_serve(5599, 2000), "2 s, and 0.4 s to withdraw it");
    assert!(!may_serve(5600, 2000));
    assert!(
        may_serve(3999, 8000),
        "half of the time is left at the least"
    );
    assert!(!may_serve(4000, 8000));
    let now = start + DEADLINE;
    let endless = Duration::from_secs(100);
    assert!(
        wanted.may_serve("model", 2, now, DEADLINE, endless),
        "nothing is newer"
    );
}

#[test]
fn a_request_queued_at_older_weights_is_withdrawn_shortly_before_the_deadline() {
    let (mut wanted, start) = (WantedWeights::default(), Instant::now());
    let left = |wanted: &WantedWeights, after_ms| {
        let now = start + Duration::from_millis(after_ms);
        wanted.waiting_time_left("model", 1, now, DEADLINE)
    };
    assert_eq!(left(&wanted, 0), None, "nothing newer is named");
    wanted.add(&weights(2), Since::Known(start));
    assert_eq!(left(&wanted, 100), Some(Duration::from_millis(7500)));
    assert_eq!(left(&wanted, 7600), Some(Duration::ZERO));
    wanted.note_store_down(start + Duration::from_millis(1000));
    assert_eq!(
        left(&wanted, 1100),
        Some(Duration::from_millis(7500)),
        "while the store is down the time does not count"
    );
}
