//! Digests of a table of records, in total and by bucket.
//!
//! A digest is the exclusive-or of one hash per record, so that it follows each change at once.
//! Two tables with equal digests are taken as equal; where they differ, the buckets tell which
//! few records have to be compared.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Digests of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDigest {
    total: u32,
    buckets: Vec<u32>,
}

impl TableDigest {
    /// The digest of an empty table, compared in `buckets` parts.
    pub fn new(buckets: usize) -> Self {
        Self {
            total: 0,
            buckets: vec![0; buckets],
        }
    }

    /// The digest of the whole table.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Half of each bucket's digest, two bytes each. Which `half` is left to chance, so that two
    /// buckets that agree in one half by accident are found out by the other.
    pub fn bucket_halves(&self, half: DigestHalf) -> Vec<u8> {
        let halves = self.buckets.iter();
        halves
            .flat_map(|digest| half.of(*digest).to_le_bytes())
            .collect()
    }

    /// The bucket of the record named `name`.
    pub fn bucket_of(&self, name: &str) -> usize {
        xxh3_64_with_seed(name.as_bytes(), 0) as usize % self.buckets.len()
    }

    /// Replaces what the record named `name` added to the digest.
    pub fn replace(&mut self, name: &str, old: u32, new: u32) {
        let bucket = self.bucket_of(name);
        self.total ^= old ^ new;
        self.buckets[bucket] ^= old ^ new;
    }

    /// The buckets whose digests differ from the `others`; a missing digest differs.
    pub fn differing(&self, half: DigestHalf, others: &[u8]) -> Vec<usize> {
        let mut theirs = others.chunks_exact(size_of::<u16>());
        let differs = |digest: &u32| {
            let own = half.of(*digest).to_le_bytes();
            theirs.next() != Some(own.as_slice())
        };
        let differing: Vec<bool> = self.buckets.iter().map(differs).collect();
        (0..self.buckets.len())
            .filter(|&bucket| differing[bucket])
            .collect()
    }
}

/// One half of a 32-bit digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum DigestHalf {
    /// The low 16 bits.
    Low,
    /// The high 16 bits.
    High,
}

impl DigestHalf {
    fn of(self, digest: u32) -> u16 {
        match self {
            Self::Low => digest as u16,
            Self::High => (digest >> 16) as u16,
        }
    }
}
