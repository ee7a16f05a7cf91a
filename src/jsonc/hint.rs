//! Suggests a known word for a misspelt one.

/// Largest edit distance of a suggestion, in characters.
const MAX_DISTANCE: usize = 2;

/// Appends a suggestion to a message about the unknown `word`, if a known word is close to it.
pub(crate) fn with_hint<'k>(
    message: &str,
    word: &str,
    known: impl IntoIterator<Item = &'k str>,
) -> String {
    match nearest(word, known) {
        Some(near) => format!("{message} (did you mean `{near}`?)"),
        None => message.to_owned(),
    }
}

/// The known word with the smallest edit distance, if that is at most [`MAX_DISTANCE`] and less
/// than the length of the known word.
fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let close = known
        .into_iter()
        .map(|candidate| (distance(word, candidate), candidate))
        .filter(|(distance, candidate)| {
            *distance <= MAX_DISTANCE && *distance < candidate.chars().count()
        });
    close
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance in characters; `usize::MAX` if the lengths alone differ by more than
/// [`MAX_DISTANCE`].
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    if a.chars().count().abs_diff(b.len()) > MAX_DISTANCE {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
