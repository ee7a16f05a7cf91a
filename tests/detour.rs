//! Ways to the store.

use std::net::SocketAddr;

use amaranthwick::dispatch::{Detour, Route};

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn detour() -> Detour {
    let mut detour = Detour::default();
    detour.set_peers(vec![peer(1), peer(2)]);
    detour
}

#[test]
fn the_direct_way_is_used_while_it_works() {
    let mut detour = detour();

    assert!(!detour.direct(true, 0));

    assert_eq!(detour.choose(1), Route::Direct);
}

#[test]
fn a_process_that_is_turned_away_goes_through_a_peer_until_a_probe_is_served() {
    let mut detour = detour();

    let news = detour.direct(false, 0);
    let routes = [10, 500, 1_000, 1_010].map(|now| detour.choose(now));
    let probes = [10, 500, 1_000, 1_010].map(|now| detour.probe_due(now));
    let back = detour.direct(true, 1_020);

    assert!(news);
    assert_eq!(routes, [Route::Peer(peer(1)); 4]);
    assert_eq!(probes, [false, false, true, false]);
    assert!(back);
    assert!(!detour.probe_due(3_000));
    assert_eq!(detour.choose(1_030), Route::Direct);
}

#[test]
fn a_peer_that_leads_nowhere_is_left_for_another_after_a_pause() {
    let mut detour = detour();
    detour.direct(false, 0);

    detour.relayed(false, 10);

    assert_eq!(detour.choose(20), Route::Direct);
    assert_eq!(detour.choose(400), Route::Peer(peer(2)));
}

#[test]
fn without_peers_there_is_only_the_direct_way() {
    let mut detour = Detour::default();
    detour.direct(false, 0);

    assert_eq!(detour.choose(10), Route::Direct);
}
