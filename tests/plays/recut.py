"""The form `recut`: executors start again under their ids, take calls that were meant for the life before, and are cut off."""

import glob
import os
import re
import threading
import time
from dataclasses import dataclass

from standins import cut, now
from zone import zone_round

DARK_S = 0.6
CALLER_WAITS_S = 0.39
ENTRY_S = [0.02, 1.0]
CUT_S = (5.0, 9.0)
PAUSE_S = (2.5, 3.5)
LONG_LEASE_MS = 4_500
CUT_AFTER_MS = [30, 100, 300, 800, 2_000]
TASK_MS = [(300, 1_500), (300, 1_500), (2_000, 6_000), (9_000, 12_000)]
CALLERS = 6
PERIOD_S = 0.4
ENTRIES = 3
AWAY_S = (0.5, 4.0)
GRACE_S = 6.0
BUSY_BEFORE_S = 2.4
RECENT_STARTS = 20

ORDER = re.compile(r"\bevent=start\b.*?\btask=(\S+)\b.*?\brun=(\d+)\b.*?\btarget=(\S+)\b.*?\bborn=(\d+)")


def add_options(parser):
    parser.add_argument("--cut-ms", type=int, help="recut: time between return and cut; drawn for each round without it")
    parser.add_argument("--cut-s", type=float, help="recut: length of the cuts")
    parser.add_argument("--answers", choices=["lost", "kept"], help="recut: answers of new lives up to the cut")
    parser.add_argument("--late-ms", type=int, help="recut: all calls of the dark are done, up to this long after the return")
    parser.add_argument("--held", action="store_true", help="recut: calls and answers of a cut are held to its end")
    parser.add_argument("--zone", choices=["executors", "whole"],
                        help="recut: one of three zones, its executors or its processes as well, at the times of the days")
    parser.add_argument("--leader", choices=["kill", "term"], help="recut: what the leader gets between return and cut")


@dataclass
class Received:
    """A start as the executor carried it out."""
    at: float
    task: str
    run: int
    target: str
    born: int
    lease_ms: int
    began: bool


def received(executor, call, answer):
    return Received(now(), call["task"], call["run-id"], executor.eid, executor.born,
                    int(executor.deadline - executor.clock()), answer == "200")


def draw_ms(rng):
    """Short tasks, and some that outlast every lease."""
    return rng.randint(*rng.choice(TASK_MS))


def go_dark(play, rng, group, after_s, length_s):
    """Crashes a group, which is back after `DARK_S` and cut off `after_s` later. In the loop of the stand-ins."""
    late_ms = play.options.late_ms
    for executor in group:
        executor.reach_s, executor.entry_s, executor.mute = CALLER_WAITS_S, rng.choice(ENTRY_S), play.mute
        executor.late_s, executor.held = late_ms and late_ms / 1000, play.options.held
        executor.crash()
        play.loop.call_later(DARK_S, executor.restart)
        if play.options.zone != "whole":
            play.loop.call_later(DARK_S + after_s, cut, play, executor, length_s)
        play.loop.call_later(DARK_S + after_s + 0.001, setattr, executor, "mute", False)


def end_leader(play, leader, rng):
    if leader is None:
        return play.note("role: no leader to end")
    play.note(f"role: {play.options.leader}, leader {leader.name}")
    leader.end_child() if play.options.leader == "kill" else leader.terminate(GRACE_S)
    time.sleep(rng.uniform(*AWAY_S))
    leader.spawn()


def draw_group(play, rng):
    """The executors that get starts now, and others: a third to two thirds of all."""
    size = rng.randint(len(play.executors) // 3, len(play.executors) * 2 // 3)
    recent = {start.target for start in play.received[-RECENT_STARTS:]}
    first = [executor for executor in play.executors if executor.eid in recent][:size]
    others = [executor for executor in play.executors if executor not in first]
    return first + rng.sample(others, size - len(first))


def round_of(play, rng):
    after_s = (play.options.cut_ms or rng.choice(CUT_AFTER_MS)) / 1000
    length_s = play.options.cut_s or rng.uniform(*CUT_S)
    group = draw_group(play, rng)
    leader = play.leader() if play.options.leader else None
    play.note(f"{len(group)} executors fall dark, and are cut off {after_s:.3f} s after their return for {length_s:.1f} s")
    begin = now()
    play.do(go_dark, play, rng, group, after_s, length_s)
    if play.options.leader:
        play.wait_until(begin + DARK_S + after_s / 2)
        end_leader(play, leader, rng)
    play.wait_until(begin + DARK_S + after_s + length_s + rng.uniform(*PAUSE_S))


def run(play, rng, end):
    answers = play.options.answers or rng.choice(["lost", "kept"])
    play.mute = answers == "lost"
    play.note(f"answers of new lives are {answers}")
    callers = [threading.Thread(target=play.submit_jobs, args=(f"recut-{i}", PERIOD_S, draw_ms)) for i in range(CALLERS)]
    for thread in callers:
        thread.start()
    time.sleep(BUSY_BEFORE_S)
    while now() < end - CUT_S[1]:
        if play.options.zone:
            zone_round(play, rng, go_dark, end_leader)
        else:
            round_of(play, rng)
    play.over.set()
    for thread in callers:
        thread.join()


def orders(folder):
    """The life that each start was meant for, as the leaders logged it."""
    found = {}
    for path in glob.glob(os.path.join(folder, "*.log")):
        with open(path, errors="replace") as file:
            for row in map(ORDER.search, file):
                if row:
                    found[row[1].strip('"'), int(row[2]), row[3].strip('"')] = int(row[4])
    return found


def reached(play):
    """The starts that another life has begun than the one that the leader knew."""
    meant = orders(play.folder)
    return [start for start in play.received
            if start.began and meant.get((start.task, start.run, start.target), start.born) != start.born]


def counts(play):
    """Writes `reached.txt`, and returns how many starts reached a new life and how many of them got a long lease."""
    for process in play.processes:
        process.log.flush()
    starts = reached(play)
    with open(os.path.join(play.options.logs, "reached.txt"), "w", encoding="utf-8") as file:
        for start in starts:
            file.write(f"{start.at:8.3f} {start.task} run {start.run} on {start.target} born {start.born} "
                       f"lease {start.lease_ms} ms\n")
    carried = sum(executor.carried for executor in play.executors)
    return {"reached": len(starts), "long_leases": sum(start.lease_ms > LONG_LEASE_MS for start in starts), "carried": carried}
