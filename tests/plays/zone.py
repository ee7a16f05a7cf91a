"""The days of the form `recut` on one of three zones, at their times."""

import collections

from standins import now

RECENT_STARTS = 40
ENTRIES = 6
CPU = [6_000, 64_000]
DARK_S = 0.6
CUT_AFTER_S = 2.0
CUT_S = 9.0
KILL_AFTER_S = 1.4
ROUND_S = 14.0
KILL_ROUND_S = 20.0


def cut_whole(play, zone, over):
    """Cuts the zone off from all others and from the store, or ends that."""
    play.zones.cut = None if over else zone
    play.note(f"zone {zone} is {'reached again' if over else 'cut off with its processes'}")
    if over and not play.options.held:
        for executor in play.executors:
            executor.server.life += executor.zone == zone


def draw_zone(play):
    """The zone that gets most starts now."""
    zones = {executor.eid: executor.zone for executor in play.executors}
    recent = collections.Counter(zones[start.target] for start in play.received[-RECENT_STARTS:])
    return recent.most_common(1)[0][0] if recent else play.executors[0].zone


def zone_round(play, rng, go_dark, end_leader):
    """All executors of a zone fall dark, are back, and are cut off; the leader may end in between."""
    begin, zone = now(), draw_zone(play)
    group = [executor for executor in play.executors if executor.zone == zone]
    after_s = play.options.cut_ms / 1000 if play.options.cut_ms is not None else CUT_AFTER_S
    length_s = play.options.cut_s or CUT_S
    leader = play.leader()
    play.note(f"{len(group)} executors of {zone} fall dark, and are cut off {after_s:.3f} s after their return "
              f"for {length_s:.1f} s; leader {leader and leader.name}")
    play.do(go_dark, play, rng, group, after_s, length_s)
    if play.options.zone == "whole":
        play.loop.call_soon_threadsafe(play.loop.call_later, DARK_S + after_s, cut_whole, play, zone, False)
        play.loop.call_soon_threadsafe(play.loop.call_later, DARK_S + after_s + length_s, cut_whole, play, zone, True)
    if play.options.leader:
        play.wait_until(begin + DARK_S + KILL_AFTER_S)
        end_leader(play, play.leader(), rng)
    play.wait_until(begin + (KILL_ROUND_S if play.options.leader else ROUND_S))
