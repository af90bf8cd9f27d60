/// Maximum number of single-character edits between a misspelling and its suggestion.
const MAX_EDITS: usize = 3;

/// Returns the candidate with the smallest edit distance to `word`.
///
/// Returns `None` if that distance exceeds [`MAX_EDITS`] or half the candidate's length, because
/// `word` is then probably no misspelling of it.
pub(crate) fn closest<'a, I>(word: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let distances = candidates.into_iter().map(|c| (edit_distance(word, c), c));
    let (distance, best) = distances.min_by_key(|(distance, _)| *distance)?;
    let limit = MAX_EDITS.min(best.chars().count() / 2);
    (distance <= limit).then_some(best)
}

/// Returns the Levenshtein distance of `a` and `b`: the smallest number of insertions, deletions
/// and replacements of a character that turn `a` into `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &y) in b.iter().enumerate() {
            let with_replacement = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = with_replacement.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
