//! Checks of the tokens that the parser omits, and messages for syntax errors.

use jsonc_parser::errors::{ParseError, ParseErrorKind};
use jsonc_parser::tokens::Token;
use jsonc_parser::{ParseStringErrorKind, Scanner};

use super::fault::Fault;

/// Limit for nested objects and arrays. The parser recurses once per level, so unlimited depth
/// would overflow the stack.
const MAX_DEPTH: usize = 32;

const BYTE_ORDER_MARK: char = '\u{feff}';

/// Rejects texts that start with a byte order mark, are nested too deep or lack a comma between
/// two values.
pub(super) fn check_tokens(text: &str) -> Result<(), Fault> {
    if text.starts_with(BYTE_ORDER_MARK) {
        return Err(fault_at(
            0,
            "the file starts with a byte order mark".to_owned(),
        ));
    }
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    let mut after_value = false;
    while let Some(token) = scanner.scan().map_err(|e| syntax_fault(&e))? {
        let start = scanner.token_start();
        if depth > 0 && after_value && starts_value(&token) {
            return Err(fault_at(start, "expected a comma before this".to_owned()));
        }
        match token {
            Token::CommentLine(_) | Token::CommentBlock(_) => continue,
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(fault_at(
                start,
                format!("nested deeper than {MAX_DEPTH} levels"),
            ));
        }
        after_value = ends_value(&token);
    }
    Ok(())
}

/// Converts an error of the parser to a fault.
pub(super) fn syntax_fault(e: &ParseError) -> Fault {
    fault_at(e.range().start, syntax_message(e))
}

const fn fault_at(offset: usize, message: String) -> Fault {
    Fault { offset, message }
}

/// Message of the parser, worded like the other findings: in lower case.
fn syntax_message(e: &ParseError) -> String {
    match e.kind() {
        ParseErrorKind::String(ParseStringErrorKind::UnterminatedStringLiteral) => {
            "string is not closed".to_owned()
        }
        ParseErrorKind::ExpectedStringObjectProperty => {
            "expected a field name in double quotes".to_owned()
        }
        kind => {
            let words = kind.to_string();
            let (first, rest) = words.split_at(words.chars().next().map_or(0, char::len_utf8));
            format!("{}{rest}", first.to_lowercase())
        }
    }
}

const fn starts_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::OpenBrace
            | Token::OpenBracket
            | Token::String(_)
            | Token::Number(_)
            | Token::Boolean(_)
            | Token::Null
            | Token::Word(_)
    )
}

const fn ends_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::CloseBrace
            | Token::CloseBracket
            | Token::String(_)
            | Token::Number(_)
            | Token::Boolean(_)
            | Token::Null
    )
}
