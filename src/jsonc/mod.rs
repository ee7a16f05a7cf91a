//! Typed reading of JSON with comments; collects every fault with its place.

mod cut;
mod fault;
mod field;
mod guard;
mod hint;
mod line;
mod node;
mod quote;
mod scalar;
mod site;
mod unit;

pub(crate) use cut::{span, without};
pub(crate) use fault::Faults;
pub(crate) use field::Fields;
pub(crate) use hint::with_hint;
pub(crate) use node::{Entry, Node};
pub(crate) use quote::quote;
pub(crate) use site::Site;

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
    let (decoded, found) = survey(file, text, decode);
    match decoded.flatten() {
        Some(value) if found.is_empty() => Ok(value),
        _ => Err(Findings(found)),
    }
}

/// Decodes as much of `text` as can be read; `None` after a syntax error.
pub(crate) fn survey<T>(
    file: &str,
    text: &str,
    decode: impl FnOnce(Node<'_>) -> T,
) -> (Option<T>, Vec<Finding>) {
    let faults = Faults::new(file, text);
    let decoded = match parse(text) {
        Ok(value) => Some(decode(Node::root(&value, &faults))),
        Err((offset, message)) => {
            faults.add(offset, message);
            None
        }
    };
    (decoded, faults.into_findings())
}

/// Parses `text`; a syntax error is given as byte offset and message.
fn parse(text: &str) -> Result<Value<'_>, (usize, String)> {
    guard::check(text)?;
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
        .map_err(|e| (e.range().start, guard::message(&e)))?;
    parsed
        .value
        .ok_or_else(|| (0, "expected an object, found nothing".to_owned()))
}
