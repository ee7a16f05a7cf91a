//! Typed reading of JSON with comments; collects every fault with its place.

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

/// What the texts may contain beyond JSON.
pub(crate) const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// Decodes `text`; either a value or at least one finding.
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

/// Takes the bytes of a file as text, or says where they are not.
pub(crate) fn decode_text(file: &str, bytes: Vec<u8>) -> Result<String, Findings> {
    String::from_utf8(bytes).map_err(|e| {
        let offset = e.utf8_error().valid_up_to();
        let text = String::from_utf8_lossy(&e.as_bytes()[..offset]);
        let faults = Faults::new(file, &text);
        faults.add(offset, "not UTF-8");
        Findings(faults.into_findings())
    })
}

/// What could be read of a text, and all that is wrong with it.
#[derive(Debug)]
pub(crate) struct Decoded<T> {
    /// Absent after a syntax error.
    pub(crate) value: Option<T>,
    /// In the order of the text.
    pub(crate) findings: Vec<Finding>,
}

/// Decodes as much of `text` as can be read.
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

/// Parses `text`, or gives its first syntax error.
fn parse(text: &str) -> Result<Value<'_>, Fault> {
    tokens::check_tokens(text)?;
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|e| tokens::syntax_fault(&e))?;
    parsed.value.ok_or_else(|| Fault {
        offset: 0,
        message: "expected an object, found nothing".to_owned(),
    })
}
