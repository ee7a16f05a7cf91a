//! Settings files and their findings.

use amaranthwick::config::{EntryConfig, OperatorConfig, PlannerConfig};
use amaranthwick::document::example;

const ENTRY: &str = include_str!("../examples/entry.jsonc");
const PLANNER: &str = include_str!("../examples/planner.jsonc");
const OPERATOR: &str = include_str!("../examples/operator.jsonc");

#[test]
fn example_settings_are_valid() {
    let entry = EntryConfig::parse("entry.jsonc", ENTRY).expect("entry");
    let planner = PlannerConfig::parse("planner.jsonc", PLANNER).expect("planner");
    let operator = OperatorConfig::parse("examples/operator.jsonc", OPERATOR).expect("operator");

    assert_eq!(entry.stale_ms, 2_000);
    assert_eq!(entry.common.root_key, example::operator("root").public());
    assert_eq!(planner.common.id.as_str(), "planner-1");
    assert_eq!(
        operator.key_file.to_str(),
        Some("examples/herds-ops.key.jsonc")
    );
}
