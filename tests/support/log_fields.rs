//! Reads fields of log lines in the `key=value` format.

/// Returns the value of `key` in a log line without its quotes; escapes in it are not decoded.
/// `None` if the line has no such key.
pub fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    while let Some((name, after)) = rest.split_once('=') {
        let end = value_end(after);
        if name.trim_start() == key {
            return Some(after[..end].trim_matches('"'));
        }
        rest = &after[end..];
    }
    None
}

/// Returns the index after the value that `text` starts with.
fn value_end(text: &str) -> usize {
    if !text.starts_with('"') {
        return text.find(' ').unwrap_or(text.len());
    }
    let mut escaped = false;
    for (i, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return i + 1,
            _ => {}
        }
    }
    text.len()
}
