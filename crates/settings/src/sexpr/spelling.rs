//! Edit distance of words, to suggest a known key in place of an unknown one.

/// Letters of a word that are compared, a bound on the run time.
const MAX_LETTERS: usize = 64;

/// Returns the Levenshtein distance of two words.
pub(super) fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().take(MAX_LETTERS).collect();
    // Distances between the current prefix of `left` and each prefix of `right`.
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, left_letter) in left.chars().take(MAX_LETTERS).enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, right_letter) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left_letter != *right_letter);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
