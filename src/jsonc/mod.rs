//! Decodes JSON with comments to typed values and reports all faults with line and column.

mod edit;
mod fault;
mod field;
mod hint;
mod line_index;
mod node;
mod quote;
mod scalar;
mod source;
mod tokens;
mod unit;

pub(crate) use edit::{remove_property, value_range};
use fault::{Fault, Faults};
pub(crate) use field::Fields;
pub(crate) use hint::with_hint;
pub(crate) use node::{Entry, Node};
pub(crate) use quote::quote;
pub(crate) use source::SectionSource;

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::finding::{Finding, Findings};

/// Extensions of JSON that are allowed: comments and trailing commas.
pub(crate) const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// Decodes `text`. Fails with all findings if there is a syntax error, if any fault was reported
/// or if `decode` returns `None`.
pub(crate) fn read<T>(
    file: &str,
    text: &str,
    decode: impl FnOnce(Node<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let decoded = decode_partial(file, text, decode);
    match decoded.value.flatten() {
        Some(value) if decoded.findings.is_empty() => Ok(value),
        _ => Err(Findings(decoded.findings)),
    }
}

/// Converts the bytes of a file to text. If they are not UTF-8, the finding gives the place of
/// the first invalid byte.
pub(crate) fn decode_text(file: &str, bytes: Vec<u8>) -> Result<String, Findings> {
    String::from_utf8(bytes).map_err(|e| {
        let offset = e.utf8_error().valid_up_to();
        let text = String::from_utf8_lossy(&e.as_bytes()[..offset]);
        let faults = Faults::new(file, &text);
        faults.add(offset, "not UTF-8");
        Findings(faults.into_findings())
    })
}

/// The part of a text that could be decoded, and all its findings.
#[derive(Debug)]
pub(crate) struct Decoded<T> {
    /// Result of the decoder; `None` after a syntax error.
    pub(crate) value: Option<T>,
    /// All faults, in the order of the text.
    pub(crate) findings: Vec<Finding>,
}

/// Decodes `text` and returns the value together with the findings, so that a text with faults
/// can be used in part.
pub(crate) fn decode_partial<T>(
    file: &str,
    text: &str,
    decode: impl FnOnce(Node<'_>) -> T,
) -> Decoded<T> {
    let faults = Faults::new(file, text);
    let value = match parse(text) {
        Ok(value) => Some(decode(Node::root(&value, &faults))),
        Err(fault) => {
            faults.push(fault);
            None
        }
    };
    let findings = faults.into_findings();
    Decoded { value, findings }
}

/// Parses `text`; fails with the first syntax error.
fn parse(text: &str) -> Result<Value<'_>, Fault> {
    tokens::check_tokens(text)?;
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|e| tokens::syntax_fault(&e))?;
    parsed.value.ok_or_else(|| Fault {
        offset: 0,
        message: "expected an object, found nothing".to_owned(),
    })
}
