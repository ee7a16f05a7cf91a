//! Location of values in a text, and removal of a property.

use jsonc_parser::Scanner;
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::tokens::Token;

use super::source::property;

const SPACES: [char; 2] = [' ', '\t'];

/// Byte range of the value at `path`; `None` if the text has a syntax error or no such value.
pub(crate) fn value_range(text: &str, path: &[&str]) -> Option<Range> {
    let root = super::parse(text).ok()?;
    let mut value = &root;
    for key in path {
        value = &property(value, key)?.value;
    }
    Some(value.range())
}

/// Removes the property at `path` and the comma after it, and keeps all comments around it.
/// Returns `None` if the text has a syntax error or no such property.
pub(crate) fn remove_property(text: &str, path: &[&str]) -> Option<String> {
    let (key, parents) = path.split_last()?;
    let root = super::parse(text).ok()?;
    let mut value = &root;
    for parent in parents {
        value = &property(value, parent)?.value;
    }
    let range = property(value, key)?.range;
    let comma = comma_after(text, range.end);
    let between = comma.map_or("", |comma| &text[range.end..comma]);
    let after = comma.map_or(range.end, |comma| comma + 1);
    let before = &text[..range.start];
    let rest = format!("{}{}", between.trim_end_matches(SPACES), &text[after..]);
    Some(join_lines(before, &rest))
}

/// Byte offset of the next comma after `offset`, if only comments are in between.
fn comma_after(text: &str, offset: usize) -> Option<usize> {
    let mut scanner = Scanner::new(&text[offset..]);
    loop {
        match scanner.scan().ok()?? {
            Token::CommentLine(_) | Token::CommentBlock(_) => {}
            Token::Comma => return Some(offset + scanner.token_start()),
            _ => return None,
        }
    }
}

/// Joins the texts before and after the removed property; drops the line if nothing else is
/// left on it.
fn join_lines(before: &str, rest: &str) -> String {
    let line = before.rfind('\n').map_or(0, |newline| newline + 1);
    let (line_rest, next) = rest.split_once('\n').unwrap_or((rest, ""));
    let blank = before[line..].trim().is_empty() && line_rest.trim().is_empty();
    if blank && rest.contains('\n') {
        return format!("{}{next}", &before[..line]);
    }
    if before.ends_with(SPACES) {
        return format!("{before}{}", rest.trim_start_matches(SPACES));
    }
    format!("{before}{rest}")
}
