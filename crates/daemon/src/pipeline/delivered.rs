//! The tokens of one answer that were delivered to its caller.

use serde::{Serialize, Serializer};

/// Delivered tokens, kept as one text and the places where each of them ends.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DeliveredTokens {
    text: String,
    ends: Vec<u32>,
}

impl DeliveredTokens {
    /// Adds the next token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// The number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no token was delivered yet.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn tokens(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts
            .zip(&self.ends)
            .map(|(start, end)| &self.text[start as usize..*end as usize])
    }
}

impl Serialize for DeliveredTokens {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.tokens())
    }
}
