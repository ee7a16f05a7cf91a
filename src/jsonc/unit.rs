//! Units of number fields, taken from the endings of their names.

/// Endings of field names, and their units as shown in messages.
const UNITS: [(&str, &str); 5] = [
    ("_ms", "milliseconds"),
    ("_days", "days"),
    ("_mb", "MB"),
    ("_bytes", "bytes"),
    ("_percent", "percent"),
];

/// Describes in messages what a number field must hold.
pub(super) fn describe_expected(field: &str) -> String {
    match unit_of(field) {
        Some(unit) => format!("a whole number of {unit}"),
        None => "a whole number".to_owned(),
    }
}

/// Unit of a field, from the ending of its name; `None` if the name has no unit.
pub(super) fn unit_of(field: &str) -> Option<&'static str> {
    let found = UNITS.iter().find(|(ending, _)| field.ends_with(ending));
    found.map(|(_, unit)| *unit)
}

/// Finds a known field that differs from `field` only in its unit, or has a unit where `field` has
/// none.
pub(super) fn same_stem_other_unit<'a>(field: &str, known: &[&'a str]) -> Option<&'a str> {
    let field_stem = stem(field);
    known
        .iter()
        .copied()
        .find(|name| unit_of(name).is_some() && stem(name) == field_stem)
}

/// Field name without the ending for its unit.
fn stem(field: &str) -> &str {
    const OTHER_ENDINGS: [&str; 8] = [
        "_s", "_sec", "_seconds", "_us", "_min", "_hours", "_gb", "_kb",
    ];
    let endings = UNITS.iter().map(|(ending, _)| *ending).chain(OTHER_ENDINGS);
    endings
        .filter_map(|ending| field.strip_suffix(ending))
        .min_by_key(|stem| stem.len())
        .unwrap_or(field)
}
