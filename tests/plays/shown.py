"""The form `shown`, and what callers are shown in all forms: jobs are looked up at every process all the time."""

import heapq
import http.client
import itertools
import json
import signal
import threading
import time
from dataclasses import dataclass

from standins import crash, cut, lab, now

ENDED = ("complete", "failed", "canceled")
LATE_S = 1.0
LOOKUPS_PER_S = 200
TIMEOUT_S = 1.0
LAST_ROUND_S = 10.0
LAST_ROUND_RATE = 5
ENDED_PER_ROUND = 3


@dataclass
class Shown:
    state: str
    at: float
    process: str


class Connection:
    """A connection of a caller that is kept, and opened again after an error."""

    def __init__(self, process):
        self.process, self.http = process, None

    def look_up(self, key):
        """The state that is shown; "unknown" for a job that the process does not have; None without an answer."""
        try:
            self.http = self.http or http.client.HTTPConnection(self.process.ip, 8340, timeout=TIMEOUT_S)
            self.http.request("GET", f"/count/{key}", headers={"Host": lab.HOST, "Api-Key": lab.KEY})
            answer = self.http.getresponse()
            text = answer.read()
        except (OSError, http.client.HTTPException):
            self.close()
            return None
        if answer.status == 410:
            return "unknown"
        try:
            return json.loads(text).get("state") if answer.status == 200 else None
        except ValueError:
            return None

    def close(self):
        if self.http:
            self.http.close()
        self.http = None


class Watch:
    """Who was shown which end first, and each state that went back."""

    def __init__(self):
        self.lock, self.over = threading.Lock(), threading.Event()
        self.first, self.back, self.lookups, self.threads = {}, [], 0, []

    def start(self, play):
        pause_s = len(play.processes) / LOOKUPS_PER_S
        self.threads = [
            threading.Thread(target=self.follow, args=(process, play.accepted, pause_s, play.rng(f"watch {process.name}")))
            for process in play.processes
        ]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def follow(self, process, accepted, pause_s, rng):
        """Looks up the jobs of which the process has shown no end, and some of the others; in the last round any."""
        connection, ended, taken, waiting = Connection(process), {}, 0, []
        while not self.over.is_set():
            new = accepted[taken:]
            waiting, taken = waiting + new, taken + len(new)
            again = rng.sample(list(ended), min(ENDED_PER_ROUND, len(ended)))
            for key in waiting + again:
                if self.over.wait(pause_s):
                    break
                self.note(process.name, ended, key, connection.look_up(key))
            waiting = [key for key in waiting + again if key not in ended]
            self.over.wait(pause_s)
        until = now() + LAST_ROUND_S
        for key in rng.sample(accepted, len(accepted)):
            if now() > until:
                break
            time.sleep(pause_s / LAST_ROUND_RATE)
            self.note(process.name, ended, key, connection.look_up(key))
        connection.close()

    def note(self, process, ended, key, state):
        """Keeps a state; `ended` has the ends that this process has shown."""
        if state is None:
            return
        shown = Shown(state, now(), process)
        with self.lock:
            self.lookups += 1
            before = ended.get(key)
            if state in ENDED:
                first = self.first.setdefault(key, shown)
                before = before or first
                ended[key] = shown
            if before and before.state != state:
                self.back.append((key, before, shown))
                if state not in ENDED:
                    del ended[key]

    def late_starts(self, runs):
        """Starts over a second after the job was shown as complete; not those that an executor did late."""
        late = []
        for task, entries in runs.items():
            shown = self.first.get(task.split(".")[0])
            if shown and shown.state == "complete":
                late += [(task, shown, run) for run in entries if run[0] > shown.at + LATE_S and not run[7][1]]
        return late


class Timetable:
    """Actions at set times."""

    def __init__(self):
        self.entries, self.order = [], itertools.count()

    def add(self, at, action, *given):
        heapq.heappush(self.entries, (at, next(self.order), action, given))

    def play(self, wait_until):
        while self.entries:
            at, _, action, given = heapq.heappop(self.entries)
            wait_until(at)
            action(*given)


def silence(play, silent):
    play.note("the store is silent" if silent else "the store answers")
    play.store.mode = "silent" if silent else None


def lose_targets(play, how, lost):
    """Each of the executors `lost`, with the time for which it is away."""
    play.note(f"{how} of {len(lost)} executors")
    for executor, dark_s in lost:
        (crash if how == "crash" else cut)(play, executor, dark_s)


def lose_role(play, table, how, length_s):
    leader = play.leader()
    play.note(f"role: {how} for {length_s:.1f} s, leader {leader and leader.name}")
    if leader is None:
        return
    if how == "freeze":
        leader.signal(signal.SIGSTOP)
        table.add(now() + length_s, leader.signal, signal.SIGCONT)
    else:
        leader.end_child() if how == "kill" else leader.signal(signal.SIGTERM)
        table.add(now() + length_s, respawn, leader)


def respawn(process):
    process.end_child()
    process.spawn()


def draw(play, rng, table, begin):
    """One time of silence, one loss of executors and one of the role, each on its own."""
    silent_at = begin + rng.uniform(0.0, 3.0)
    table.add(silent_at, silence, play, True)
    table.add(silent_at + rng.uniform(2.0, 9.0), silence, play, False)
    how = rng.choice(["crash", "cut"])
    away = (0.3, 5.0) if how == "crash" else (3.0, 16.0)
    lost = rng.sample(play.executors, rng.randint(len(play.executors) // 2, len(play.executors)))
    table.add(begin + rng.uniform(0.0, 9.0), lose_targets, play, how, [(e, rng.uniform(*away)) for e in lost])
    role = rng.choice(["kill", "freeze", "term", None])
    if role:
        table.add(begin + rng.uniform(0.0, 9.0), lose_role, play, table, role, rng.uniform(0.5, 8.0))


def run(play, rng, end):
    begin = now()
    while begin < end - 12.0:
        table = Timetable()
        draw(play, rng, table, begin)
        table.play(play.wait_until)
        begin = max(now(), begin + 12.0) + rng.uniform(0.0, 3.0)
        play.wait_until(begin)
