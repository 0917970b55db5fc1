//! The text of a prompt: nested shared segments, then a short unique text.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A piece of prompt text; equal segments have equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Determines the text.
    pub seed: u64,
    /// The length of the text.
    pub bytes: usize,
}

impl Segment {
    /// Appends the text: hexadecimal words of eight characters, so that it compresses and tokenises like
    /// a log of readings.
    pub fn append_to(&self, text: &mut String) {
        const WORD_BYTES: usize = 9;
        let mut random = SmallRng::seed_from_u64(self.seed);
        let end = text.len() + self.bytes;
        text.reserve(self.bytes + WORD_BYTES);
        while text.len() < end {
            let word: u32 = random.random();
            for nibble in (0..u32::BITS).step_by(4) {
                let digit = word >> nibble & 0xf;
                text.push(char::from_digit(digit, 16).unwrap_or('0'));
            }
            text.push(' ');
        }
        text.truncate(end);
    }
}

/// A prompt, from the segment shared by most requests to the one of this request only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The segments in their order.
    pub segments: Vec<Segment>,
}

impl Prompt {
    /// The whole text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for segment in &self.segments {
            segment.append_to(&mut text);
        }
        text
    }
}
