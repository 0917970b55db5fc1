//! Digests of a table of records, in total and by bucket.
//!
//! A digest is the exclusive-or of one hash per record, so that it follows each change at once.
//! Two tables with equal digests are taken as equal; where they differ, the buckets tell which
//! few records have to be compared.

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

    /// The digests of the buckets.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
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

    /// The buckets whose digests differ from `others`; a missing digest differs.
    pub fn differing(&self, others: &[u32]) -> Vec<usize> {
        (0..self.buckets.len())
            .filter(|&bucket| others.get(bucket) != Some(&self.buckets[bucket]))
            .collect()
    }
}
