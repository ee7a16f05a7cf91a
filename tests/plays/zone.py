"""The days of the form `recut` on one of three zones, at their times."""

from standins import now

ZONE = "z0"
ENTRIES = 6
CPU = 6_000
DARK_S = 0.6
CUT_AFTER_S = 2.0
CUT_S = 9.0
KILL_AFTER_S = 1.4
ROUND_S = 14.0
KILL_ROUND_S = 20.0


def cut_whole(play, zone):
    """Cuts the zone off from all others and from the store, or ends that."""
    play.zones.cut = zone
    play.note(f"zone {ZONE} is {'cut off with its processes' if zone else 'reached again'}")
    if zone is None and not play.options.held:
        for executor in play.executors:
            executor.server.life += executor.zone == ZONE


def zone_round(play, rng, go_dark, end_leader):
    """All executors of the zone fall dark, are back, and are cut off; the leader may end in between."""
    begin = now()
    group = [executor for executor in play.executors if executor.zone == ZONE]
    after_s = play.options.cut_ms / 1000 if play.options.cut_ms is not None else CUT_AFTER_S
    leader = play.leader()
    play.note(f"{len(group)} executors of {ZONE} fall dark, and are cut off {after_s:.3f} s after their return "
              f"for {CUT_S:.1f} s; leader {leader and leader.name}")
    play.do(go_dark, play, rng, group, after_s, CUT_S)
    if play.options.zone == "whole":
        play.loop.call_soon_threadsafe(play.loop.call_later, DARK_S + after_s, cut_whole, play, ZONE)
        play.loop.call_soon_threadsafe(play.loop.call_later, DARK_S + after_s + CUT_S, cut_whole, play, None)
    if play.options.leader:
        play.wait_until(begin + DARK_S + KILL_AFTER_S)
        end_leader(play, play.leader(), rng)
    play.wait_until(begin + (KILL_ROUND_S if play.options.leader else ROUND_S))
