//! Tests of the choice between the direct route to the store and one through a peer.

use std::net::SocketAddr;

use amaranthwick::dispatch::{StoreRoute, StoreRouter};

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn router() -> StoreRouter {
    let mut router = StoreRouter::default();
    router.set_peers(vec![peer(1), peer(2)]);
    router
}

#[test]
fn the_direct_route_is_used_while_it_works() {
    let mut router = router();

    assert!(!router.record_direct(true, 0));

    assert_eq!(router.choose(1), StoreRoute::Direct);
}

#[test]
fn a_refused_process_uses_a_peer_until_a_probe_is_served() {
    let mut router = router();

    let newly_failed = router.record_direct(false, 0);
    let chosen_routes = [10, 500, 1_000, 1_010].map(|now| router.choose(now));
    let probes = [10, 500, 1_000, 1_010].map(|now| router.probe_due(now));
    let newly_served = router.record_direct(true, 1_020);

    assert!(newly_failed);
    assert_eq!(chosen_routes, [StoreRoute::Peer(peer(1)); 4]);
    assert_eq!(probes, [false, false, true, false]);
    assert!(newly_served);
    assert!(!router.probe_due(3_000));
    assert_eq!(router.choose(1_030), StoreRoute::Direct);
}

#[test]
fn after_a_pause_another_peer_replaces_one_that_did_not_serve_a_call() {
    let mut router = router();
    router.record_direct(false, 0);

    router.record_relayed(false, 10);

    assert_eq!(router.choose(20), StoreRoute::Direct);
    assert_eq!(router.choose(400), StoreRoute::Peer(peer(2)));
}

#[test]
fn without_peers_only_the_direct_route_is_used() {
    let mut router = StoreRouter::default();
    router.record_direct(false, 0);

    assert_eq!(router.choose(10), StoreRoute::Direct);
}
