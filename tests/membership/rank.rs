use amaranthwick::id::{DataCentre, Incarnation, MemberId, QueueId};
use amaranthwick::membership::rank_owners;
use amaranthwick::view::Member;

fn members(ids: &[&str]) -> Vec<Member> {
    let member = |id: &&str| Member {
        id: MemberId::new(id),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("a"),
        peer: ([127, 0, 0, 1], 7_000).into(),
        alive: true,
    };
    ids.iter().map(member).collect()
}

fn queues() -> Vec<QueueId> {
    (0..300)
        .map(|n| QueueId::new(&format!("queue-{n}")))
        .collect()
}

fn order(queue: &QueueId, members: &[Member]) -> Vec<MemberId> {
    rank_owners(queue, members)
        .into_iter()
        .map(|m| m.id.clone())
        .collect()
}

#[test]
fn the_order_of_the_members_does_not_matter() {
    let forth = members(&["e1", "e2", "e3", "e4"]);
    let back = members(&["e4", "e3", "e2", "e1"]);

    assert!(queues().iter().all(|q| order(q, &forth) == order(q, &back)));
}

#[test]
fn the_order_is_the_same_in_every_build() {
    let found = order(&QueueId::new("grazing"), &members(&["e1", "e2", "e3"]));

    let names: Vec<&str> = found.iter().map(MemberId::as_str).collect();
    assert_eq!(names, ["e2", "e3", "e1"]);
}

#[test]
fn the_loss_of_a_member_moves_only_what_it_owned() {
    let all = members(&["e1", "e2", "e3", "e4"]);
    let mut fewer = all.clone();
    fewer[1].alive = false;

    for queue in queues() {
        let before = order(&queue, &all);
        let expected: Vec<MemberId> = before.into_iter().filter(|id| *id != all[1].id).collect();
        assert_eq!(order(&queue, &fewer), expected);
    }
}

#[test]
fn queues_are_spread_evenly() {
    let all = members(&["e1", "e2", "e3"]);

    let owners: Vec<MemberId> = queues().iter().map(|q| order(q, &all)[0].clone()).collect();

    for member in &all {
        let owned = owners.iter().filter(|id| **id == member.id).count();
        assert!((70..=130).contains(&owned), "{owned} of 300");
    }
}
