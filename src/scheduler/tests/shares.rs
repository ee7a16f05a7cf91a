//! Tests of the division of capacity among teams.

use std::sync::Arc;

use indexmap::IndexMap;
use rstest::rstest;

use crate::scheduler::shares::{TeamLoad, TeamShares};
use crate::scheduler::{Capacity, Team};

/// CPU of all VMs together, in thousandths of a core.
const FLEET_CPU: u64 = 100_000;

fn amount(cpu: u64, mem_mb: u64) -> Capacity {
    Capacity {
        cpu,
        mem_mb,
        gpu: 0,
    }
}

/// Capacity of all VMs: 1 MB of memory to a thousandth of a core.
fn fleet() -> Capacity {
    amount(FLEET_CPU, FLEET_CPU)
}

fn teams(weights: &[(&str, u64)]) -> IndexMap<Arc<str>, Team> {
    let team = |(name, weight): &(&str, u64)| {
        let name: Arc<str> = Arc::from(*name);
        let team = Team {
            name: Arc::clone(&name),
            weight: *weight,
            limit: Capacity::default(),
        };
        (name, team)
    };
    weights.iter().map(team).collect()
}

fn load(running: u64, waiting: u64) -> TeamLoad {
    TeamLoad {
        running: amount(running, 0),
        waiting: amount(waiting, 0),
    }
}

fn near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-6, "{actual}, not {expected}");
}

/// Guards against teams that lose capacity to one that submits seven times its usual load: five
/// teams of equal weight usually need 15% of the fleet each, one now requests 105%.
#[test]
fn a_team_at_seven_times_its_usual_gets_what_the_others_leave() {
    let names = ["a", "b", "c", "d", "e"];
    let teams = teams(&names.map(|name| (name, 10)));
    let mut loads: IndexMap<&str, TeamLoad> =
        names.iter().map(|name| (*name, load(15_000, 0))).collect();
    loads["a"] = load(40_000, 65_000);
    // The others wait for a part of what they usually run.
    for name in &names[1..] {
        loads[name] = load(10_000, 5_000);
    }

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.entitled("a"), 0.40);
    for name in &names[1..] {
        near(shares.entitled(name), 0.15);
        assert!(!shares.over_share(Some(name)));
    }
    assert!(
        !shares.over_share(Some("a")),
        "it runs what the others leave"
    );

    // It runs more than that, so that others have to wait for what they are entitled to.
    loads["a"] = load(60_000, 45_000);
    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);
    assert_eq!(shares.teams_over().collect::<Vec<_>>(), ["a"]);
}

/// Guards against weights that do not count: what a team does not request goes to the others in
/// proportion to their weights.
#[test]
fn unused_shares_are_divided_by_weight() {
    let teams = teams(&[("small", 1), ("large", 3), ("idle", 6)]);
    let loads = IndexMap::from([
        ("small", load(0, FLEET_CPU)),
        ("large", load(0, FLEET_CPU)),
        ("idle", load(20_000, 0)),
    ]);

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.entitled("small"), 0.20);
    near(shares.entitled("large"), 0.60);
    near(shares.entitled("idle"), 0.20);
}

/// Guards against a division by one resource only: a team that needs memory and one that needs CPU
/// each get most of theirs.
#[test]
fn shares_are_divided_by_the_dominant_resource() {
    let teams = teams(&[("cores", 1), ("memory", 1)]);
    let loads = IndexMap::from([
        (
            "cores",
            TeamLoad {
                running: Capacity::default(),
                waiting: amount(90_000, 30_000),
            },
        ),
        (
            "memory",
            TeamLoad {
                running: Capacity::default(),
                waiting: amount(30_000, 90_000),
            },
        ),
    ]);

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.entitled("cores"), 0.75);
    near(shares.entitled("memory"), 0.75);
}

/// Guards against a team without a weight that gets nothing or everything: 0 counts as the
/// smallest weight of any team, and a removed team keeps weight 1 while its jobs wait.
#[rstest]
#[case::weight_zero(&[("a", 4), ("b", 2), ("c", 0)], 0.50, 0.25)]
#[case::removed(&[("a", 4), ("b", 2)], 4.0 / 7.0, 1.0 / 7.0)]
#[case::no_weights(&[("a", 0), ("b", 0), ("c", 0)], 1.0 / 3.0, 1.0 / 3.0)]
fn a_missing_weight_counts_as_the_smallest(
    #[case] weights: &[(&str, u64)],
    #[case] first: f64,
    #[case] last: f64,
) {
    let teams = teams(weights);
    let loads: IndexMap<&str, TeamLoad> = ["a", "b", "c"]
        .map(|name| (name, load(0, FLEET_CPU)))
        .into_iter()
        .collect();

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.entitled("a"), first);
    near(shares.entitled("c"), last);
}

/// Guards against an entitlement above a team's limit, which would leave capacity unused while
/// others wait; here the limit was lowered below what the team runs.
#[test]
fn a_team_is_entitled_to_no_more_than_its_limit() {
    let mut teams = teams(&[("limited", 1), ("other", 1)]);
    teams["limited"].limit = amount(10_000, 0);
    let loads = IndexMap::from([
        ("limited", load(30_000, 30_000)),
        ("other", load(70_000, FLEET_CPU)),
    ]);

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.entitled("limited"), 0.10);
    near(shares.entitled("other"), 0.90);
    assert_eq!(shares.teams_over().collect::<Vec<_>>(), ["limited"]);
    assert!(shares.yields("limited"));
    assert!(!shares.yields("other"));
}

/// Guards against refusals that nothing justifies: without scarcity, without configured weights,
/// for a team that waits for nothing, and for jobs without a team nobody is over its share.
#[rstest]
#[case::not_scarce(&[("a", 1), ("b", 1)], 10_000, false)]
#[case::no_weights(&[("a", 0), ("b", 0)], 10_000, true)]
#[case::nothing_waits(&[("a", 1), ("b", 1)], 0, true)]
fn no_team_is_over_its_share(
    #[case] weights: &[(&str, u64)],
    #[case] waiting: u64,
    #[case] scarce: bool,
) {
    let teams = teams(weights);
    let loads = IndexMap::from([("a", load(80_000, waiting)), ("b", load(20_000, FLEET_CPU))]);

    let shares = TeamShares::divide(&loads, &teams, &fleet(), scarce);

    assert_eq!(shares.teams_over().count(), 0);
    assert!(!shares.over_share(None));
}

/// Guards against a team that can't expect anything before its first job is counted.
#[test]
fn a_team_can_expect_its_part_by_weight() {
    let teams = teams(&[("a", 3), ("new", 1)]);
    let loads = IndexMap::from([("a", load(FLEET_CPU, FLEET_CPU))]);

    let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

    near(shares.expected_part("a", &teams), 1.0);
    near(shares.expected_part("new", &teams), 0.25);
}

/// Guards against a division that does not end or gives away more than there is, with many teams
/// and arbitrary demands.
#[test]
fn entitlements_never_exceed_the_fleet() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let names: Vec<String> = (0..140).map(|i| format!("t{i}")).collect();
        let weights: Vec<(&str, u64)> = names
            .iter()
            .map(|name| (name.as_str(), rng.u64(..5)))
            .collect();
        let teams = teams(&weights);
        let loads: IndexMap<&str, TeamLoad> = names
            .iter()
            .map(|name| (name.as_str(), load(rng.u64(..1_500), rng.u64(..4_000))))
            .collect();

        let shares = TeamShares::divide(&loads, &teams, &fleet(), true);

        let total: f64 = names.iter().map(|name| shares.entitled(name)).sum();
        assert!(total < 1.0 + 1e-6, "{total}");
    }
}
