//! Prompts with long, nested prefixes.

/// Bytes of one line of text.
const LINE_BYTES: usize = 64;

/// A prompt of three nested parts; equal outer parts give equal prefixes.
#[derive(Debug, Clone, Copy)]
pub struct NestedPrompt {
    /// The outermost part, such as the code clauses.
    pub clause: u32,
    /// The part within, such as a housing scheme.
    pub scheme: u32,
    /// The innermost part, such as one sheet.
    pub sheet: u32,
}

impl NestedPrompt {
    /// The text: 4 KiB of clause, 2 KiB of scheme, 1 KiB of sheet, and a question.
    pub fn text(self) -> String {
        let mut text = part("clause", self.clause, 4096);
        text.push_str(&part("scheme", self.scheme, 2048));
        text.push_str(&part("sheet", self.sheet, 1024));
        text.push_str("Does the sheet satisfy the clause?");
        text
    }
}

/// A prompt of `bytes` bytes that shares no block with one of another `subject`.
pub fn long_prompt(subject: u32, bytes: usize) -> String {
    part("subject", subject, bytes)
}

fn part(kind: &str, number: u32, bytes: usize) -> String {
    (0..bytes / LINE_BYTES)
        .map(|line| {
            let line = format!("{kind} {number} paragraph {line}");
            format!("{line:<width$}\n", width = LINE_BYTES - 1)
        })
        .collect()
}
