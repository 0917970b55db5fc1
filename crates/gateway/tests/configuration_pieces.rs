//! Transfers of a configuration's document between gateways: pieces that are lost, duplicated, reordered, mixed from two
//! versions or invalid.

use bytes::Bytes;
use driftspring_gateway::configuration::{CallerLimits, Configuration};
use driftspring_gateway::peers::configuration_message::{
    ConfigurationPiece, ConfigurationQuery, ConfigurationReply, MAX_PIECES, PIECE_BYTES, answers,
};
use driftspring_gateway::peers::configuration_pieces::{
    ConfigurationPieces, MAX_DOCUMENT_BYTES, PieceError,
};
use driftspring_gateway::peers::message::{MAX_DATAGRAM_BYTES, Message};
use quickcheck::quickcheck;

fn configuration(version: u64, document: Vec<u8>) -> Configuration {
    let limits = CallerLimits {
        max_header_bytes: 1000,
        max_body_bytes: 1000,
        ..CallerLimits::default()
    };
    Configuration::new(version, Vec::new(), Vec::new(), None, limits)
        .with_document(Bytes::from(document))
}

/// A document without repetition, so that a misplaced piece is detected.
fn document(length: usize) -> Vec<u8> {
    let bytes = (0_u64..).flat_map(|number| number.to_le_bytes());
    bytes.take(length).collect()
}

fn query_for(first_piece: u32, pieces: u32) -> ConfigurationQuery {
    ConfigurationQuery {
        nonce: 7,
        first_piece,
        pieces,
    }
}

/// The replies of a gateway that holds this document.
fn replies(version: u64, document: &[u8], query: &ConfigurationQuery) -> Vec<ConfigurationReply> {
    let held = configuration(version, document.to_vec());
    answers(query, Some(&held), true)
}

fn begin(first: &ConfigurationReply) -> ConfigurationPieces {
    ConfigurationPieces::begin(first).expect("a document")
}

#[test]
fn a_full_piece_fits_into_a_datagram() {
    let whole = replies(
        u64::MAX,
        &document(PIECE_BYTES * 40),
        &query_for(8, MAX_PIECES),
    );
    assert_eq!(whole.len(), MAX_PIECES as usize);
    for mut answer in whole {
        answer.nonce = u64::MAX;
        let encoded = Message::ConfigurationReply(answer).encode();
        let length = encoded.expect("encoded").len();
        assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
    }
}

#[test]
fn one_query_returns_a_bounded_number_of_pieces() {
    let long = document(PIECE_BYTES * 100);
    assert_eq!(
        replies(3, &long, &query_for(0, u32::MAX)).len(),
        MAX_PIECES as usize
    );
    assert_eq!(replies(3, &long, &query_for(99, u32::MAX)).len(), 1);
    // Beyond the end, or if only the version is asked for, there is one reply without a piece.
    for query in [
        query_for(100, 5),
        query_for(u32::MAX, u32::MAX),
        query_for(0, 0),
    ] {
        let answers = replies(3, &long, &query);
        assert_eq!(answers.len(), 1);
        assert_eq!((answers[0].version, &answers[0].piece), (3, &None));
    }
    let nothing = answers(&query_for(0, 5), None, false);
    assert_eq!((nothing.len(), nothing[0].version), (1, 0));
}

#[test]
fn pieces_of_two_versions_are_rejected() {
    let (old, new) = (document(PIECE_BYTES * 3), document(PIECE_BYTES * 3 + 1));
    let old = replies(4, &old, &query_for(0, 5));
    let new = replies(7, &new, &query_for(0, 5));
    let mut pieces = begin(&old[0]);
    assert_eq!(pieces.add(old[0].clone()), Ok(()));
    let mixed = pieces.add(new[1].clone());
    assert_eq!(mixed, Err(PieceError::OtherDocument(7)));
}

#[test]
fn different_bytes_of_the_same_version_are_rejected() {
    let mut other = document(PIECE_BYTES * 3);
    let one = replies(4, &other, &query_for(0, 5));
    other[PIECE_BYTES + 1] ^= 1;
    let other = replies(4, &other, &query_for(0, 5));
    let mut pieces = begin(&one[0]);
    let mixed = pieces.add(other[1].clone());
    assert_eq!(mixed, Err(PieceError::OtherDocument(4)));
    // The same applies if each reply names the same digest.
    let mut forged = other[1].clone();
    forged.digest = one[0].digest;
    for answer in [&one[0], &forged, &one[2]] {
        assert_eq!(pieces.add(answer.clone()), Ok(()));
    }
    assert!(pieces.is_whole());
    assert_eq!(pieces.into_document(), Err(PieceError::Digest));
}

#[test]
fn a_document_with_a_missing_piece_is_incomplete() {
    let answers = replies(4, &document(PIECE_BYTES * 3), &query_for(0, 5));
    let mut pieces = begin(&answers[0]);
    for answer in [&answers[0], &answers[2]] {
        assert_eq!(pieces.add(answer.clone()), Ok(()));
    }
    assert!(!pieces.is_whole());
    assert_eq!(pieces.first_missing(), 1);
    assert_eq!(pieces.into_document(), Err(PieceError::Digest));
}

#[test]
fn a_piece_of_a_wrong_size_is_rejected() {
    let answers = replies(4, &document(PIECE_BYTES * 2 + 5), &query_for(0, 5));
    let wrong = [(0, 5), (2, PIECE_BYTES), (2, 0), (3, 1), (u32::MAX, 1)];
    for (number, size) in wrong {
        let mut answer = answers[0].clone();
        let bytes = vec![0; size];
        answer.piece = Some(ConfigurationPiece { number, bytes });
        let mut pieces = begin(&answers[0]);
        assert_eq!(pieces.add(answer), Err(PieceError::Size(number)));
    }
}

#[test]
fn a_document_that_is_too_long_or_empty_is_rejected() {
    let mut first = replies(4, &document(5), &query_for(0, 5)).remove(0);
    for length in [0, MAX_DOCUMENT_BYTES + 1, u32::MAX] {
        first.length = length;
        let begun = ConfigurationPieces::begin(&first);
        assert_eq!(begun.err(), Some(PieceError::Length(length)));
    }
    first.length = MAX_DOCUMENT_BYTES;
    assert!(ConfigurationPieces::begin(&first).is_ok());
}

quickcheck! {
    /// Whichever datagrams are lost, duplicated or reordered: once they are requested again, exactly the original
    /// document is assembled.
    fn a_document_survives_lost_duplicate_and_reordered_datagrams(length: u16, losses: Vec<bool>, rotations: Vec<u8>) -> bool {
        let sent = document(usize::from(length) * 3 + 1);
        let mut pieces = begin(&replies(4, &sent, &query_for(0, 1))[0]);
        let mut losses = losses.into_iter();
        let mut rotations = rotations.into_iter();
        while !pieces.is_whole() {
            let mut arriving = replies(4, &sent, &query_for(pieces.first_missing(), MAX_PIECES));
            arriving.retain(|_| !losses.next().unwrap_or(false));
            let rotation = usize::from(rotations.next().unwrap_or(0)) % arriving.len().max(1);
            arriving.rotate_left(rotation);
            let duplicate = arriving.first().cloned();
            for answer in arriving.into_iter().chain(duplicate) {
                if pieces.add(answer).is_err() {
                    return false;
                }
            }
        }
        pieces.into_document() == Ok(sent)
    }
}
