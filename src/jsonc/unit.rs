//! Units carried by the names of fields.

const UNITS: [(&str, &str); 5] = [
    ("_ms", "milliseconds"),
    ("_days", "days"),
    ("_mb", "MB"),
    ("_bytes", "bytes"),
    ("_percent", "percent"),
];

/// What a number field holds, for messages.
pub(super) fn describe_expected(field: &str) -> String {
    match unit_of(field) {
        Some(unit) => format!("a whole number of {unit}"),
        None => "a whole number".to_owned(),
    }
}

/// Unit of a field, from the ending of its name.
pub(super) fn unit_of(field: &str) -> Option<&'static str> {
    let found = UNITS.iter().find(|(ending, _)| field.ends_with(ending));
    found.map(|(_, unit)| *unit)
}

/// The known field that `field` names with another unit or with none.
pub(super) fn same_stem_other_unit<'a>(field: &str, known: &[&'a str]) -> Option<&'a str> {
    let field_stem = stem(field);
    known
        .iter()
        .copied()
        .find(|name| unit_of(name).is_some() && stem(name) == field_stem)
}

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
