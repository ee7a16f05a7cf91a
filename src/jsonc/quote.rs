//! Formats input for messages: on one line, of limited length, and never a secret.

/// Longest input that is shown, in characters. Shorter than the 64 hexadecimal digits of a
/// 32-byte secret, so that a secret in the wrong place is not shown.
const MAX_SHOWN: usize = 63;

/// The text in double quotes, escaped; if it is too long, only its length.
pub(crate) fn quote(text: &str) -> String {
    if is_long(text) {
        return format!("a text of {} characters", text.chars().count());
    }
    format!("{text:?}")
}

/// The name of a field in backticks, escaped; if it is too long, only its length.
pub(super) fn quote_name(name: &str) -> String {
    if is_long(name) {
        return format!("of {} characters", name.chars().count());
    }
    format!("`{}`", name.escape_debug())
}

fn is_long(text: &str) -> bool {
    text.chars().nth(MAX_SHOWN).is_some()
}
