//! When the path to the replicas of a service counts as in doubt, lost and back.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::reachability::random_sample;
use driftspring_gateway::reachability::service_path::{
    CONFIRMED_INTERVAL, PathChange, PathUse, ProbeResults, SILENCE_LIMIT, ServicePath,
    UNANSWERED_LIMIT,
};

const ALL_REFUSE: ProbeResults = ProbeResults {
    probed: 3,
    answered: 0,
    refused: 3,
};

const ALL_SILENT: ProbeResults = ProbeResults {
    probed: 3,
    answered: 0,
    refused: 0,
};

const ONE_SILENT: ProbeResults = ProbeResults {
    probed: 3,
    answered: 0,
    refused: 2,
};

const ONE_ANSWERS: ProbeResults = ProbeResults {
    probed: 3,
    answered: 1,
    refused: 0,
};

const ROUND: Duration = Duration::from_millis(500);

fn lose(path: &ServicePath, at: Instant) -> Option<PathChange> {
    path.begin_round(at);
    path.end_round(ALL_REFUSE, at + ROUND)
}

fn answer(path: &ServicePath, at: Instant) -> Option<PathChange> {
    path.begin_round(at);
    path.end_round(ONE_ANSWERS, at)
}

#[test]
fn a_path_is_silent_only_while_requests_are_open() {
    let path: Rc<ServicePath> = Rc::default();
    let start = Instant::now();
    assert!(!path.is_silent(start + SILENCE_LIMIT));
    let open = PathUse::begin(&path, start);
    assert!(!path.is_silent(start + SILENCE_LIMIT / 2));
    assert!(path.is_silent(start + SILENCE_LIMIT));
    path.record_answer(start + SILENCE_LIMIT);
    assert!(!path.is_silent(start + SILENCE_LIMIT));
    drop(open);
    assert!(!path.is_silent(start + SILENCE_LIMIT * 4));
}

#[test]
fn a_request_after_a_quiet_time_does_not_make_a_path_silent() {
    let path: Rc<ServicePath> = Rc::default();
    let start = Instant::now();
    path.record_answer(start);
    let later = start + SILENCE_LIMIT * 20;
    let _open = PathUse::begin(&path, later);
    assert!(!path.is_silent(later));
}

#[test]
fn a_path_is_lost_if_all_probes_are_refused_and_back_with_the_first_answer() {
    let path = ServicePath::default();
    let start = Instant::now();
    let lost = Some(PathChange::Lost {
        has_live_connections: false,
    });
    assert_eq!(lose(&path, start), lost);
    assert!(path.is_lost() && path.is_cut_off(start + ROUND));
    assert!(!path.needs_round(start + ROUND * 9));
    let back_at = start + ROUND * 9;
    let after = ROUND * 8;
    assert_eq!(answer(&path, back_at), Some(PathChange::Regained { after }));
    assert!(!path.is_lost());
}

#[test]
fn a_path_is_lost_once_its_replicas_are_silent_for_longer_than_sound_ones_are() {
    for results in [ALL_SILENT, ONE_SILENT] {
        let path = ServicePath::default();
        let start = Instant::now();
        let mut at = start;
        while at + ROUND < start + UNANSWERED_LIMIT {
            path.begin_round(at);
            at += ROUND;
            assert_eq!(path.end_round(results, at), None, "{:?}", at - start);
            assert!(path.is_in_doubt() && path.is_probing() && !path.is_lost());
        }
        path.begin_round(at);
        let lost = Some(PathChange::Lost {
            has_live_connections: false,
        });
        assert_eq!(path.end_round(results, start + UNANSWERED_LIMIT), lost);
        assert!(path.is_lost() && !path.is_in_doubt());
    }
}

#[test]
fn a_cut_is_known_when_gateways_are_judged_by_it() {
    // `contactMs` in the platform's rules; a path is looked at, and a round ends, some time after it is silent.
    let noticed = SILENCE_LIMIT + UNANSWERED_LIMIT + ROUND / 2;
    assert!(noticed < Duration::from_secs(3), "{noticed:?}");
}

#[test]
fn an_answered_probe_ends_the_doubt() {
    let path = ServicePath::default();
    let start = Instant::now();
    path.begin_round(start);
    assert_eq!(path.end_round(ALL_SILENT, start + ROUND), None);
    assert_eq!(answer(&path, start + ROUND), None);
    assert!(!path.is_in_doubt() && !path.is_probing());
    let later = start + UNANSWERED_LIMIT;
    path.begin_round(later);
    assert_eq!(path.end_round(ALL_SILENT, later + ROUND), None);
    assert!(!path.is_lost());
}

#[test]
fn one_answer_is_enough_for_the_path_to_be_there() {
    let path = ServicePath::default();
    let start = Instant::now();
    assert_eq!(answer(&path, start), None);
    assert!(!path.is_lost());
    assert!(!path.needs_round(start + CONFIRMED_INTERVAL / 2));
    assert!(path.needs_round(start + CONFIRMED_INTERVAL));
}

#[test]
fn a_round_without_replicas_shows_nothing() {
    let path = ServicePath::default();
    path.begin_round(Instant::now());
    let none = ProbeResults {
        probed: 0,
        answered: 0,
        refused: 0,
    };
    assert_eq!(path.end_round(none, Instant::now()), None);
    assert!(!path.is_lost());
}

#[test]
fn open_connections_are_live_only_by_answers_since_the_doubt() {
    let path = ServicePath::default();
    let start = Instant::now();
    path.record_answer(start - Duration::from_millis(1));
    lose(&path, start);
    assert!(!path.has_live_connections(start + ROUND));
    path.record_answer(start + ROUND);
    assert!(path.has_live_connections(start + ROUND));
    assert!(!path.is_cut_off(start + ROUND));
    assert!(path.is_cut_off(start + ROUND + SILENCE_LIMIT + UNANSWERED_LIMIT));
}

/// A request left its replica 1 s after the last answer, where silence on a new connection has to last 2.5 s.
#[test]
fn open_connections_are_not_given_up_sooner_than_new_ones() {
    let path = ServicePath::default();
    let start = Instant::now();
    path.begin_round(start);
    let answered = start + ROUND;
    path.record_answer(answered);
    assert_eq!(path.end_round(ALL_SILENT, answered), None);
    path.begin_round(answered);
    assert!(
        path.end_round(ALL_SILENT, start + UNANSWERED_LIMIT)
            .is_some()
    );
    let given_up = answered + SILENCE_LIMIT + UNANSWERED_LIMIT;
    assert!(!path.is_cut_off(given_up - Duration::from_millis(1)));
    assert!(path.is_cut_off(given_up));
}

#[test]
fn a_path_that_is_lost_again_soon_must_answer_several_rounds() {
    let path = ServicePath::default();
    let start = Instant::now();
    lose(&path, start);
    assert!(answer(&path, start + ROUND * 2).is_some());
    lose(&path, start + ROUND * 3);
    assert_eq!(answer(&path, start + ROUND * 5), None);
    assert_eq!(answer(&path, start + ROUND * 6), None);
    assert!(answer(&path, start + ROUND * 7).is_some());
}

#[test]
fn a_sample_names_no_replica_twice() {
    let items: Vec<u32> = (0..20).collect();
    for draw in 0..50 {
        let mut sample = random_sample(&items, 5, draw);
        sample.sort_unstable();
        sample.dedup();
        assert_eq!(sample.len(), 5);
    }
    assert_eq!(random_sample(&items[..2], 5, 1).len(), 2);
}
