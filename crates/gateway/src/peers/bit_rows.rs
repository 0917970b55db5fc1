//! Rows of bytes of one length, of which only the bits are kept that differ between them.
//!
//! What a page tells of replicas differs little from one to the next: addresses share their network and their port, births
//! their high digits, ids their beginning and the few bits by which hexadecimal digits differ.

use musli::{Decode, Encode};

/// The most rows of one set. What is read from a datagram takes bounded room by it: 255 rows as long as itself.
pub const MAX_ROWS: usize = u8::MAX as usize;

/// Rows of one length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct BitRows {
    /// The bits that all rows have in common; those that differ are 0.
    #[musli(bytes)]
    common: Vec<u8>,
    /// Which bits differ.
    #[musli(bytes)]
    differing: Vec<u8>,
    /// How many rows there are.
    count: u8,
    /// The bits that differ, row after row, the high one of a byte first.
    #[musli(bytes)]
    bits: Vec<u8>,
}

impl BitRows {
    /// Packs `rows`, all of which are as long as the first; those beyond [`MAX_ROWS`] are left out.
    pub fn pack(rows: &[Vec<u8>]) -> Self {
        let rows = &rows[..rows.len().min(MAX_ROWS)];
        let Some(first) = rows.first() else {
            return Self::default();
        };
        let mut differing = vec![0; first.len()];
        for row in rows {
            add_differences(&mut differing, first, row);
        }
        let common = first.iter().zip(&differing);
        let common = common.map(|(byte, mask)| byte & !mask).collect();
        let mut bits = BitWriter::default();
        for row in rows {
            for (byte, mask) in row.iter().zip(&differing) {
                set_bits(*mask).for_each(|bit| bits.push(byte & bit != 0));
            }
        }
        Self {
            common,
            differing,
            count: rows.len() as u8,
            bits: bits.bytes,
        }
    }

    /// The rows; those whose bits are missing are left out.
    pub fn rows(&self) -> impl Iterator<Item = Vec<u8>> {
        let mut bits = BitReader::new(&self.bits);
        (0..self.count).map_while(move |_| self.next_row(&mut bits))
    }

    fn next_row(&self, bits: &mut BitReader<'_>) -> Option<Vec<u8>> {
        let mut row = Vec::with_capacity(self.common.len());
        for (common, mask) in self.common.iter().zip(&self.differing) {
            let mut byte = *common;
            for bit in set_bits(*mask) {
                if bits.next()? {
                    byte |= bit;
                }
            }
            row.push(byte);
        }
        Some(row)
    }
}

/// Adds to `differing` the bits in which `row` differs from `first`.
pub fn add_differences(differing: &mut [u8], first: &[u8], row: &[u8]) {
    for ((mask, one), other) in differing.iter_mut().zip(first).zip(row) {
        *mask |= one ^ other;
    }
}

/// How many bytes `count` rows take that differ in these bits, beside the encoding of the lengths.
pub fn packed_bytes(differing: &[u8], count: usize) -> usize {
    let bits: usize = differing
        .iter()
        .map(|mask| mask.count_ones() as usize)
        .sum();
    2 * differing.len() + (bits * count).div_ceil(8)
}

/// The bits of `mask`, the high one first.
fn set_bits(mask: u8) -> impl Iterator<Item = u8> {
    (0..8)
        .rev()
        .map(|position| 1 << position)
        .filter(move |bit| mask & bit != 0)
}

/// Writes bits into bytes.
#[derive(Debug, Default)]
struct BitWriter {
    bytes: Vec<u8>,
    count: usize,
}

impl BitWriter {
    fn push(&mut self, is_set: bool) {
        if self.count.is_multiple_of(8) {
            self.bytes.push(0);
        }
        if let Some(last) = self.bytes.last_mut().filter(|_| is_set) {
            *last |= 0x80 >> (self.count % 8);
        }
        self.count += 1;
    }
}

/// Reads bits out of bytes.
#[derive(Debug)]
struct BitReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> BitReader<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, position: 0 }
    }

    fn next(&mut self) -> Option<bool> {
        let byte = self.bytes.get(self.position / 8)?;
        let bit = 0x80 >> (self.position % 8);
        self.position += 1;
        Some(byte & bit != 0)
    }
}
