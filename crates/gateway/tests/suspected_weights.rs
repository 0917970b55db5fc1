//! Which versions are suspected to have been named without anybody noticing, and how often they are tried.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::protocol::ModelVersion;
use driftspring_gateway::store::{StoreEra, StorePosition};
use driftspring_gateway::suspected_weights::{SuspectedWeights, Suspicion};
use driftspring_gateway::weights::Since;
use quickcheck::quickcheck;

const ERA: StoreEra = StoreEra::named(1);
const SECOND: Duration = Duration::from_secs(1);

fn weights(version: u64) -> ModelVersion {
    ModelVersion {
        model: "model".to_owned(),
        version,
    }
}

fn at(revision: u64) -> StorePosition {
    StorePosition { era: ERA, revision }
}

fn suspicion(version: u64) -> Suspicion {
    Suspicion {
        weights: weights(version),
        since: Since::Known(Instant::now()),
    }
}

#[test]
fn the_same_version_at_a_later_position_was_written_again() {
    let mut suspected = SuspectedWeights::default();
    assert!(!suspected.note_stored(&weights(3), at(75), None));
    assert!(!suspected.note_stored(&weights(3), at(75), None));
    assert!(suspected.note_stored(&weights(3), at(92), None));
    assert!(!suspected.note_stored(&weights(4), at(95), None));
}

#[test]
fn positions_of_different_eras_are_not_compared() {
    let mut suspected = SuspectedWeights::default();
    suspected.note_known(&weights(3), Instant::now(), ERA);
    suspected.note_stored(&weights(3), at(75), None);
    let later_era = at(92).in_era(StoreEra::named(2));
    let now = Instant::now();
    assert!(!suspected.note_stored(&weights(3), later_era, Some(now)));
}

#[test]
fn a_new_reader_of_the_store_compares_with_the_time_at_which_it_learned_of_the_version() {
    let heard_at = Instant::now();
    let mut suspected = SuspectedWeights::default();
    suspected.note_known(&weights(3), heard_at, ERA);
    assert!(suspected.note_stored(&weights(3), at(92), Some(heard_at + SECOND)));
    let mut suspected = SuspectedWeights::default();
    suspected.note_known(&weights(3), heard_at + SECOND, ERA);
    assert!(!suspected.note_stored(&weights(3), at(92), Some(heard_at)));
    assert!(!suspected.note_stored(&weights(3), at(92), None));
}

#[test]
fn entries_must_show_a_version_for_a_while() {
    let began = Instant::now();
    let mut suspected = SuspectedWeights::default();
    let shown = HashMap::from([("model".to_owned(), 4)]);
    assert!(suspected.note_shown(&shown, began).is_empty());
    assert!(suspected.note_shown(&shown, began + SECOND).is_empty());
    assert_eq!(
        suspected.note_shown(&shown, began + 2 * SECOND),
        [weights(4)]
    );
    suspected.note_shown(&HashMap::new(), began + 3 * SECOND);
    assert!(suspected.note_shown(&shown, began + 4 * SECOND).is_empty());
}

#[test]
fn a_named_version_is_no_longer_suspected() {
    let mut suspected = SuspectedWeights::default();
    assert!(suspected.suspect(suspicion(4)));
    assert!(!suspected.suspect(suspicion(5)));
    suspected.note_known(&weights(4), Instant::now(), ERA);
    assert_eq!(suspected.all().count(), 0);
}

#[test]
fn a_repeatedly_suspected_version_is_tried_once_a_minute() {
    let began = Instant::now();
    let mut suspected = SuspectedWeights::default();
    let mut trials = 0;
    for second in 0..3600 {
        let now = began + second * SECOND;
        suspected.suspect(suspicion(4));
        for due in suspected.due(now) {
            suspected.note_refused(&due.weights, now);
            trials += 1;
        }
    }
    assert!((60..=66).contains(&trials), "{trials} trials in an hour");
}

quickcheck! {
    fn only_a_write_after_the_known_one_is_suspicious(revisions: Vec<u16>) -> bool {
        let mut suspected = SuspectedWeights::default();
        let mut before: Option<u16> = None;
        for revision in revisions {
            let is_later = before.is_some_and(|before| before < revision);
            if suspected.note_stored(&weights(3), at(u64::from(revision)), None) != is_later {
                return false;
            }
            before = before.max(Some(revision));
        }
        true
    }
}

#[test]
fn an_overwritten_version_is_tried_although_another_was_just_refused() {
    // An entry kept showing a version far above all others; its backoff of up to a minute applied to the
    // whole model.
    let now = Instant::now();
    let mut suspected = SuspectedWeights::default();
    for _ in 0..6 {
        suspected.suspect(suspicion(1 << 40));
        suspected.note_refused(&weights(1 << 40), now);
    }
    suspected.suspect(suspicion(4));
    let due = suspected.due(now);
    assert_eq!(due.first().map(|due| &due.weights), Some(&weights(4)));
}

#[test]
fn a_version_is_tried_three_times_before_it_is_dropped() {
    let began = Instant::now();
    let mut suspected = SuspectedWeights::default();
    suspected.suspect(suspicion(4));
    let mut tried_after = Vec::new();
    for second in 0..60 {
        let now = began + second * SECOND;
        for due in suspected.due(now) {
            suspected.note_refused(&due.weights, now);
            tried_after.push(second);
        }
    }
    assert_eq!(tried_after, [0, 2, 6]);
}

#[test]
fn a_list_may_hide_a_naming_only_if_the_object_was_written_while_nobody_watched() {
    let heard_at = Instant::now();
    let mut suspected = SuspectedWeights::default();
    // Nothing is known yet, so this is the first list.
    assert!(!suspected.may_hide_naming(&weights(3), None, at(75), None));
    suspected.note_known(&weights(3), heard_at, ERA);
    suspected.note_stored(&weights(3), at(75), None);
    // The known object, then an older version.
    assert!(!suspected.may_hide_naming(&weights(3), Some(3), at(75), None));
    assert!(suspected.may_hide_naming(&weights(2), Some(3), at(92), None));
    suspected.note_stored(&weights(2), at(92), None);
    let later = heard_at + SECOND;
    assert!(!suspected.may_hide_naming(&weights(2), Some(3), at(92), Some(later)));
    assert!(suspected.may_hide_naming(&weights(2), Some(3), at(95), Some(later)));
    assert!(!suspected.may_hide_naming(&weights(2), Some(3), at(95), Some(heard_at - SECOND)));
    // A new version: a later one may have been written before it.
    assert!(suspected.may_hide_naming(&weights(4), Some(3), at(97), None));
}
