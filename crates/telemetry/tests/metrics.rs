//! The metrics page: every label value appears, numbers are those counted, the format holds.

use std::time::Duration;

use driftspring_telemetry::metrics::{
    ControlSubsystem, ExtraAttempt, MetricLabel, Metrics, OutcomeLabel,
};
use driftspring_types::{EngineHealth, MemberState, NotRunReason, Outcome};
use quickcheck::quickcheck;

fn assert_slots_are_in_order<L: MetricLabel>() {
    for (position, label) in L::ALL.iter().enumerate() {
        assert_eq!(label.index(), position, "{} {}", L::NAME, label.text());
    }
}

#[test]
fn each_label_value_has_its_own_slot() {
    assert_slots_are_in_order::<OutcomeLabel>();
    assert_slots_are_in_order::<ExtraAttempt>();
    assert_slots_are_in_order::<ControlSubsystem>();
    assert_slots_are_in_order::<NotRunReason>();
    assert_slots_are_in_order::<MemberState>();
    assert_slots_are_in_order::<EngineHealth>();
}

#[test]
fn page_shows_what_was_counted() {
    let metrics = Metrics::new();
    metrics.count_outcome(&Outcome::Completed);
    metrics.count_outcome(&Outcome::NotRun {
        reason: NotRunReason::Overloaded,
        retry_after: Duration::from_secs(1),
    });
    metrics.count_first_token(Duration::from_millis(30));
    metrics.count_prompt(100, 60);
    metrics.extra_attempts.increment(ExtraAttempt::Resume);
    metrics.control.count_sent(ControlSubsystem::Gossip, 512);
    metrics.gauges.members.set(MemberState::Alive, 3);
    metrics.gauges.config_revision.set(17);
    let page = metrics.render();
    let expected = [
        "driftspring_requests_total{outcome=\"completed\"} 1",
        "driftspring_requests_total{outcome=\"unknown\"} 0",
        "driftspring_refusals_total{reason=\"overloaded\"} 1",
        "driftspring_time_to_first_token_seconds_bucket{le=\"0.035\"} 1",
        "driftspring_time_to_first_token_seconds_bucket{le=\"0.02\"} 0",
        "driftspring_time_to_first_token_seconds_count 1",
        "driftspring_prompt_tokens_total 100",
        "driftspring_cached_prompt_tokens_total 60",
        "driftspring_extra_attempts_total{kind=\"resume\"} 1",
        "driftspring_control_sent_bytes_total{subsystem=\"gossip\"} 512",
        "driftspring_members{state=\"alive\"} 3",
        "driftspring_config_revision 17",
    ];
    for line in expected {
        assert!(page.lines().any(|found| found == line), "{line} in\n{page}");
    }
    assert!(page.ends_with("# EOF\n"));
}

#[test]
fn control_timer_counts_when_dropped() {
    let metrics = Metrics::new();
    let timer = metrics.control.time(ControlSubsystem::Claims);
    assert_eq!(metrics.control.busy.get(ControlSubsystem::Claims), 0);
    drop(timer);
    assert!(metrics.control.busy.get(ControlSubsystem::Claims) > 0);
    assert_eq!(metrics.control.busy.get(ControlSubsystem::Gossip), 0);
}

quickcheck! {
    fn histogram_counts_every_duration(microseconds: Vec<u64>) -> bool {
        let metrics = Metrics::new();
        for duration in &microseconds {
            metrics.count_first_token(Duration::from_micros(*duration >> 20));
        }
        let count = format!(
            "driftspring_time_to_first_token_seconds_bucket{{le=\"+Inf\"}} {}",
            microseconds.len()
        );
        metrics.time_to_first_token.count() == microseconds.len() as u64
            && metrics.render().contains(&count)
    }
}
