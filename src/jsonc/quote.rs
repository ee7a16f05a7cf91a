//! Input shown in messages: one line, of bounded length, and never a secret.

// Shorter than 32 bytes in hexadecimal, so that a secret in the wrong place is not shown.
const MAX_SHOWN: usize = 63;

/// A text in double quotes.
pub(crate) fn quote(text: &str) -> String {
    if is_long(text) {
        return format!("a text of {} characters", text.chars().count());
    }
    format!("{text:?}")
}

/// The name of a field in backticks.
pub(super) fn quote_name(name: &str) -> String {
    if is_long(name) {
        return format!("of {} characters", name.chars().count());
    }
    format!("`{}`", name.escape_debug())
}

fn is_long(text: &str) -> bool {
    text.chars().nth(MAX_SHOWN).is_some()
}
