//! What events and answers do to the picture of one engine.

use std::time::Duration;

use driftspring_directory::{
    CacheEvent, CacheEventKind, Directory, DirectorySettings, EngineResidency, EventCursor,
    EventStep, Overlap,
};
use driftspring_prefix::{BLOCK_BYTES, BLOCK_TOKENS, Fingerprint};
use driftspring_types::{EngineId, Incarnation};
use quickcheck::quickcheck;

const LIFE: Incarnation = Incarnation(7);

fn prompt(blocks: usize) -> Fingerprint {
    let text: Vec<u8> = (0..blocks * BLOCK_BYTES).map(|at| (at / 7) as u8).collect();
    Fingerprint::of_prompt("salt", &text)
}

fn engine() -> EngineResidency {
    EngineResidency::new(LIFE, &DirectorySettings::default())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn event(kind: CacheEventKind, fingerprint: &Fingerprint) -> CacheEvent {
    CacheEvent {
        sequence: 1,
        incarnation: LIFE,
        kind,
        hashes: fingerprint.blocks.clone(),
    }
}

quickcheck! {
    fn overlap_is_the_longest_prefix_answered(known: u8, asked: u8) -> bool {
        let (known, asked) = (usize::from(known % 40), usize::from(asked % 40));
        let engine = engine();
        engine.answered(&prompt(known), Overlap::default(), 0, seconds(1));
        let overlap = engine.overlap(&prompt(asked), seconds(2));
        overlap.blocks as usize == known.min(asked)
    }

    fn a_cursor_reports_each_gap_once(sequences: Vec<u8>) -> bool {
        let mut cursor = EventCursor::new(LIFE, 0);
        let mut expected = 0_u64;
        sequences.into_iter().map(u64::from).all(|sequence| {
            let wanted = match sequence {
                _ if sequence < expected => EventStep::Skip,
                _ if sequence == expected => EventStep::Apply,
                _ => EventStep::ApplyAfterGap,
            };
            expected = expected.max(sequence + 1);
            cursor.step(LIFE, sequence) == wanted && cursor.next_sequence() == expected
        })
    }
}

#[test]
fn resident_blocks_are_counted_until_they_expire_or_are_cleared() {
    let engine = engine();
    engine.answered(&prompt(8), Overlap::default(), 0, seconds(1));
    assert_eq!(engine.resident_blocks(seconds(2)), 8);
    engine.answered(&prompt(4), Overlap::default(), 0, seconds(5));
    assert_eq!(engine.resident_blocks(seconds(9)), 4);
    let cleared = event(CacheEventKind::Cleared, &prompt(0));
    engine.apply_event(&cleared, seconds(9));
    assert_eq!(engine.resident_blocks(seconds(9)), 0);
}

#[test]
fn unused_blocks_expire_and_a_use_renews_them() {
    let engine = engine();
    engine.answered(&prompt(8), Overlap::default(), 0, seconds(1));
    engine.answered(&prompt(4), Overlap::default(), 0, seconds(5));
    let overlap = engine.overlap(&prompt(8), seconds(9));
    assert_eq!(overlap.blocks, 4);
    assert!(overlap.next_is_expired);
    assert_eq!(engine.overlap(&prompt(8), seconds(60)).blocks, 0);
}

#[test]
fn refuted_beliefs_shorten_the_lifetime_and_wrong_doubts_lengthen_it() {
    let engine = engine();
    let start = engine.lifetime();
    engine.answered(&prompt(8), Overlap::default(), 0, seconds(1));
    let believed = engine.overlap(&prompt(8), seconds(2));
    engine.answered(&prompt(8), believed, 0, seconds(2));
    let shorter = engine.lifetime();
    assert!(shorter < start);
    let doubted = engine.overlap(&prompt(8), seconds(60));
    engine.answered(&prompt(8), doubted, 8 * BLOCK_TOKENS, seconds(60));
    assert!(engine.lifetime() > shorter);
}

#[test]
fn a_dispatch_that_was_not_computed_leaves_what_was_known() {
    let engine = engine();
    engine.answered(&prompt(3), Overlap::default(), 0, seconds(1));
    let expected = engine.overlap(&prompt(8), seconds(2));
    engine.dispatched(&prompt(8), seconds(2));
    assert_eq!(engine.overlap(&prompt(8), seconds(2)).blocks, 8);
    engine.not_computed(&prompt(8), expected);
    assert_eq!(engine.overlap(&prompt(8), seconds(2)).blocks, 3);
}

#[test]
fn events_hold_blocks_until_removed_and_a_gap_makes_them_uncertain() {
    let engine = engine();
    engine.events_resumed(seconds(1));
    engine.apply_event(&event(CacheEventKind::Stored, &prompt(8)), seconds(2));
    assert_eq!(engine.overlap(&prompt(8), seconds(100)).blocks, 8);
    engine.events_resumed(seconds(100));
    assert_eq!(engine.overlap(&prompt(8), seconds(100)).blocks, 0);
    engine.apply_event(&event(CacheEventKind::Stored, &prompt(8)), seconds(101));
    let mut tail = prompt(8);
    tail.blocks.drain(..5);
    engine.apply_event(&event(CacheEventKind::Removed, &tail), seconds(102));
    assert_eq!(engine.overlap(&prompt(8), seconds(102)).blocks, 5);
    engine.apply_event(&event(CacheEventKind::Cleared, &prompt(0)), seconds(103));
    assert_eq!(engine.overlap(&prompt(8), seconds(103)).blocks, 0);
}

#[test]
fn a_new_life_starts_empty_and_an_old_one_is_gone() {
    let directory = Directory::new(DirectorySettings::default());
    let id = EngineId::new("e1");
    let first = directory.of_incarnation(&id, LIFE).expect("first life");
    first.answered(&prompt(8), Overlap::default(), 0, seconds(1));
    let next_life = Incarnation(LIFE.0 + 1);
    let second = directory
        .of_incarnation(&id, next_life)
        .expect("second life");
    assert_eq!(second.overlap(&prompt(8), seconds(1)).blocks, 0);
    assert!(directory.of_incarnation(&id, LIFE).is_none());
    directory.retain(|engine| *engine == id);
    assert!(directory.memory_bytes() > 0);
    directory.retain(|engine| *engine != id);
    assert_eq!(directory.memory_bytes(), 0);
}
