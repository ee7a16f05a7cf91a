//! Formatting of `key=value` pairs on one line.

use std::fmt::{self, Write};

/// Writes `key=value`. Quotes and escapes values that are empty or could be mistaken for
/// several pairs or lines.
pub(super) fn write_pair(out: &mut impl Write, key: &str, value: &str) -> fmt::Result {
    write_key(out, key)?;
    out.write_char('=')?;
    if needs_no_quotes(value) {
        out.write_str(value)
    } else {
        write_quoted(out, value)
    }
}

fn needs_no_quotes(value: &str) -> bool {
    let plain = |c: char| c.is_alphanumeric() || c.is_ascii_punctuation();
    let special = |c: char| matches!(c, '"' | '=' | '\\');
    !value.is_empty() && value.chars().all(|c| plain(c) && !special(c))
}

fn write_key(out: &mut impl Write, key: &str) -> fmt::Result {
    for c in key.chars() {
        let safe = c.is_ascii_alphanumeric() || matches!(c, '_' | '.' | '-');
        out.write_char(if safe { c } else { '_' })?;
    }
    Ok(())
}

fn write_quoted(out: &mut impl Write, value: &str) -> fmt::Result {
    out.write_char('"')?;
    for c in value.chars() {
        match c {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            '\r' => out.write_str("\\r")?,
            '\t' => out.write_str("\\t")?,
            c if needs_escape(c) => write!(out, "{}", c.escape_unicode())?,
            c => out.write_char(c)?,
        }
    }
    out.write_char('"')
}

/// True for control characters, and for Unicode line separators and direction marks, which
/// break or reorder a line on some terminals.
fn needs_escape(c: char) -> bool {
    c.is_control()
        || matches!(c, '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
}
