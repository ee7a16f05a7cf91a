//! Nearest known name for a misspelt one.

const MAX_DISTANCE: usize = 2;

/// Adds the nearest known word to a message about an unknown one.
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

/// The known name with the fewest differing letters, if it is close enough.
fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let close = known
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(distance, candidate)| {
            *distance <= MAX_DISTANCE && *distance < candidate.chars().count()
        });
    close
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance in characters.
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
