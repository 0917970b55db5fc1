//! Eras of a store that is restored from a copy: how answers are judged by their era, and how positions are ordered.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::store::{
    AnswerEra, EraVerdict, LOWER_ERA_REJECTION_WINDOW, StoreEra, StoreEraTracker, StorePosition,
    StoreProgress, judge_era,
};
use quickcheck::quickcheck;

fn named(era: u64) -> AnswerEra {
    AnswerEra::Named(StoreEra::named(era))
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::named(era),
        revision,
    }
}

quickcheck! {
    /// Positions are ordered by era first; revisions order them only within one era.
    fn positions_are_ordered_by_era_then_revision(one: (u64, u64), other: (u64, u64)) -> bool {
        let (a, b) = (position(one.0, one.1), position(other.0, other.1));
        let is_later = if one.0 == other.0 { one.1 > other.1 } else { one.0 > other.0 };
        (a > b) == is_later && StorePosition::unnamed(one.1) < b
    }

    fn a_position_is_before_another_only_within_one_era(one: (u64, u64), other: (u64, u64)) -> bool {
        let (a, b) = (position(one.0, one.1), position(other.0, other.1));
        a.is_before_in_era(b) == (one.0 == other.0 && one.1 < other.1)
    }

    /// Whatever eras answers name, the known era never decreases, and answers with a lower era are rejected as long as the
    /// store has recently named the known one.
    fn the_known_era_never_decreases(answers: Vec<Option<u8>>) -> bool {
        let began = Instant::now();
        let eras = StoreEraTracker::new(began);
        let (mut highest, mut confirmed_at) = (StoreEra::UNNAMED, began);
        for (step, number) in (0..).zip(answers) {
            // Answers are so far apart that the store may change its era each time.
            let now = began + Duration::from_millis(2600) * step;
            let answer = number.map_or(AnswerEra::Missing, |number| named(u64::from(number)));
            let era = number.map_or(StoreEra::UNNAMED, |number| StoreEra::named(u64::from(number)));
            let first = eras.judge(&answer, now);
            let verdict = match first {
                EraVerdict::Unconfirmed(_) => eras.judge(&answer, now),
                verdict => verdict,
            };
            let is_recent = now - confirmed_at < LOWER_ERA_REJECTION_WINDOW;
            let is_expected = match verdict {
                EraVerdict::Later(later) => later == era && era > highest,
                EraVerdict::Unconfirmed(_) => false,
                EraVerdict::Current => era == highest,
                EraVerdict::Earlier(earlier) => earlier == era && era < highest && is_recent,
                EraVerdict::Doubtful => era < highest && (era == StoreEra::UNNAMED || !is_recent),
            };
            if let EraVerdict::Later(later) = verdict {
                eras.advance(later, now);
            }
            if era >= highest && era != StoreEra::UNNAMED {
                confirmed_at = now;
            }
            highest = highest.max(era);
            if !is_expected || eras.known() != highest {
                return false;
            }
        }
        true
    }
}

#[test]
fn an_era_that_increases_with_every_answer_is_never_accepted() {
    // A store that counts its answers as eras would cause every reader to list all objects again and again.
    let began = Instant::now();
    let eras = StoreEraTracker::new(began);
    for answer in 0..2000 {
        let now = began + Duration::from_millis(10) * answer;
        match eras.judge(&named(5 + u64::from(answer)), now) {
            EraVerdict::Later(later) => drop(eras.advance(later, now)),
            EraVerdict::Doubtful | EraVerdict::Unconfirmed(_) => {}
            verdict => panic!("{verdict:?}"),
        }
    }
    assert_eq!(eras.changes(), 0);
}

#[test]
fn the_rate_of_confirmed_era_changes_is_limited() {
    let began = Instant::now();
    let eras = StoreEraTracker::new(began);
    for answer in 0..2000 {
        let now = began + Duration::from_millis(10) * answer;
        if let EraVerdict::Later(later) = eras.judge(&named(5 + u64::from(answer / 2)), now) {
            eras.advance(later, now);
        }
    }
    assert!((2..=8).contains(&eras.changes()), "{}", eras.changes());
}

#[test]
fn a_later_era_is_accepted_once_a_second_answer_names_it() {
    let began = Instant::now();
    let eras = StoreEraTracker::new(began);
    assert_eq!(
        eras.judge(&named(5), began),
        EraVerdict::Later(StoreEra::named(5))
    );
    eras.advance(StoreEra::named(5), began);
    let next = StoreEra::named(6);
    assert_eq!(eras.judge(&named(6), began), EraVerdict::Unconfirmed(next));
    assert_eq!(eras.judge(&named(6), began), EraVerdict::Later(next));
}

#[test]
fn an_answer_without_a_valid_era_counts_as_one_of_the_known_era() {
    let known = StoreEra::named(4);
    let judge = |answered: &AnswerEra| judge_era(known, answered, Duration::ZERO);
    assert_eq!(judge(&AnswerEra::Missing), EraVerdict::Doubtful);
    assert_eq!(
        judge(&AnswerEra::Unreadable("x".to_owned())),
        EraVerdict::Doubtful
    );
    let unnamed = judge_era(StoreEra::UNNAMED, &AnswerEra::Missing, Duration::ZERO);
    assert_eq!(unnamed, EraVerdict::Current);
}

#[test]
fn a_lower_era_is_rejected_until_the_known_one_was_not_named_for_long() {
    let known = StoreEra::named(4);
    let lower = EraVerdict::Earlier(StoreEra::named(3));
    assert_eq!(judge_era(known, &named(3), Duration::ZERO), lower);
    let almost = LOWER_ERA_REJECTION_WINDOW - Duration::from_millis(1);
    assert_eq!(judge_era(known, &named(3), almost), lower);
    assert_eq!(
        judge_era(known, &named(3), LOWER_ERA_REJECTION_WINDOW),
        EraVerdict::Doubtful
    );
}

#[test]
fn a_lower_era_stays_rejected_while_the_known_one_is_named() {
    let began = Instant::now();
    let eras = StoreEraTracker::new(began);
    eras.advance(StoreEra::named(5), began);
    for second in 0..20 {
        let now = began + Duration::from_secs(second);
        assert_eq!(eras.judge(&named(5), now), EraVerdict::Current);
        let lower = eras.judge(&named(4), now + Duration::from_millis(500));
        assert_eq!(lower, EraVerdict::Earlier(StoreEra::named(4)));
    }
}

#[test]
fn the_first_named_era_is_a_change_only_if_the_store_was_read_without_one() {
    let began = Instant::now();
    let eras = StoreEraTracker::new(began);
    assert!(!eras.advance(StoreEra::named(7), began));
    assert_eq!((eras.known(), eras.changes()), (StoreEra::named(7), 0));
    assert!(eras.advance(StoreEra::named(8), began));
    assert!(!eras.advance(StoreEra::named(8), began));
    assert!(!eras.advance(StoreEra::named(6), began));
    assert_eq!((eras.known(), eras.changes()), (StoreEra::named(8), 1));

    let unnamed_before = StoreEraTracker::new(began);
    unnamed_before.judge(&AnswerEra::Missing, began);
    assert!(unnamed_before.advance(StoreEra::named(1), began));
}

#[test]
fn a_read_in_another_era_does_not_date_a_change() {
    let began = Instant::now();
    let after = |seconds| began + Duration::from_secs(seconds);
    let mut progress = StoreProgress::default();
    progress.note(after(1), position(1, 100));
    progress.note(after(2), position(1, 200));
    progress.note(after(5), position(2, 150));
    assert_eq!(progress.last_read_before(position(1, 150)), Some(after(1)));
    // The change may have come with the copy, from long before.
    assert_eq!(progress.last_read_before(position(2, 150)), None);
    assert_eq!(progress.last_read_before(position(2, 151)), Some(after(5)));
    assert_eq!(
        progress.last_read_before_era(StoreEra::named(2)),
        Some(after(2))
    );
    assert_eq!(progress.last_read_before_era(StoreEra::named(1)), None);
    assert_eq!(progress.last_read_before(StorePosition::unnamed(500)), None);
}
