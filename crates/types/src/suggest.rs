//! Suggestions for misspelt words in settings and operators' statements.

/// The largest number of edits at which a known word is still suggested.
const MAX_EDITS: usize = 2;

/// The known word that is most likely meant by `word`, where one is near enough.
///
/// Near means at most two inserted, removed or replaced characters, and fewer edits than
/// `word` has characters.
pub fn closest_word<'a>(
    word: &str,
    known_words: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    known_words
        .into_iter()
        .map(|known| (edit_distance(word, known), known))
        .filter(|(edits, _)| *edits <= MAX_EDITS && *edits < word.chars().count())
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, known)| known)
}

/// The Levenshtein distance of two words, in characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, left_character) in left.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, right_character) in right.iter().enumerate() {
            let replaced = previous[column] + usize::from(left_character != *right_character);
            let removed = previous[column + 1] + 1;
            let inserted = current[column] + 1;
            current.push(replaced.min(removed).min(inserted));
        }
        previous = current;
    }
    previous[right.len()]
}
