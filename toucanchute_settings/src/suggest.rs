/// Most single-character edits between a misspelling and what is suggested for it.
const MAX_EDITS: usize = 3;

/// Returns the candidate closest to `word`, if one is close enough to be a misspelling of it.
pub(crate) fn closest<'a, I>(word: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let rated = candidates.into_iter().map(|c| (edits(word, c), c));
    let (count, best) = rated.min_by_key(|(count, _)| *count)?;
    let limit = MAX_EDITS.min(best.chars().count() / 2);
    (count <= limit).then_some(best)
}

/// Returns the number of insertions, deletions and replacements that turn `a` into `b`.
fn edits(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
