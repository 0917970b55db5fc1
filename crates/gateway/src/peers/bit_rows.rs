//! Packs rows of bytes of the same length: bits that are equal in all rows are stored once.
//!
//! The rows of replicas in a page differ little: addresses share their network and port, birth times their high digits,
//! ids their prefix and the bits that are common to all hexadecimal digits.

use musli::{Decode, Encode};

/// The maximum number of rows. It limits the memory for rows decoded from a datagram to 255 times its size.
pub const MAX_ROWS: usize = u8::MAX as usize;

/// Packed rows of one length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct BitRows {
    /// The common bits of all rows; differing bits are 0.
    #[musli(bytes)]
    common: Vec<u8>,
    /// A mask of the differing bits.
    #[musli(bytes)]
    differing: Vec<u8>,
    /// The number of rows.
    count: u8,
    /// The differing bits, row by row, the most significant bit of a byte first.
    #[musli(bytes)]
    bits: Vec<u8>,
}

impl BitRows {
    /// Packs `rows`, all of which have the length of the first; those beyond [`MAX_ROWS`] are left out.
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

    /// The rows; rows with missing bits are left out.
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

/// The size in bytes of `count` rows that differ in these bits, without the encoding of the lengths.
pub fn packed_bytes(differing: &[u8], count: usize) -> usize {
    let bits: usize = differing
        .iter()
        .map(|mask| mask.count_ones() as usize)
        .sum();
    2 * differing.len() + (bits * count).div_ceil(8)
}

/// The set bits of `mask`, the most significant one first.
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
