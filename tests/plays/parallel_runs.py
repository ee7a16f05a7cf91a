#!/usr/bin/env python3
"""Plays that look for two runs of one task at once, and for ends that were shown too early (README.md beside this file)."""

import argparse
import asyncio
import collections
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import busy
import channels
import findings
import processes
import recut
import shown
import standins
import zone
from forms import Form
from standins import crash, cut, lab
from lab import CannotRun, now

CALM_BEFORE_S = 3.0
CALM_AFTER_S = 10.0
SERVICE = "s"


class Play(lab.Lab):
    def __init__(self, folder, options):
        super().__init__(folder, options.seed)
        self.record.close()
        self.record = standins.Record(os.path.join(folder, "record.txt"))
        self.options = options
        self.store = standins.Store(self.record, self.rng("store"))
        self.store_server.handler = self.store.handle
        self.calls = collections.defaultdict(list)
        self.received = []
        self.accepted, self.over = [], threading.Event()
        self.watch = shown.Watch()
        self.faults = standins.Faults()
        self.task_cpu = 0
        self.zones = channels.Zones(options.held) if options.zone else None
        self.worst_lag = 0.0
        self.loop.call_soon_threadsafe(lambda: self.loop.create_task(self.measure_lag()))

    def rng(self, part):
        return random.Random(f"{self.options.seed}/{part}")

    async def measure_lag(self):
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.02)
            self.worst_lag = max(self.worst_lag, time.monotonic() - at - 0.02)

    def add_executors(self, count, cpu):
        async def add(index):
            eid = f"i-{index + 1:04x}f3c2d1e0"
            rng = self.rng(eid)
            place = {"zone": f"z{index % 3}", "rack": f"r{index % 3}-{index // 12}"}
            executor = standins.Executor(self, eid, SERVICE, rng, self.faults, cpu=cpu, mem=cpu * 2, **place)
            executor.zones = self.zones
            return await executor.open()

        self.executors += [self.run(add(index)) for index in range(count)]

    def start(self, count):
        self.processes = processes.start(self, count)
        self.wait("a leader and ready processes", 40, lambda: (
            any(p.leads() for p in self.processes) and all(p.ready() for p in self.processes)))
        time.sleep(1.0)

    def run_started(self, executor, run):
        super().run_started(executor, run)
        run.entry.append(run.order)

    def end_acknowledged(self, executor, ended):
        super().end_acknowledged(executor, ended)
        entry = self.by_end.get((executor.eid, executor.life, ended[0]))
        if entry is not None:
            entry.append("acknowledged")

    def call_seen(self, executor, target, call, late, answer):
        text = (f"{now():.3f} {target} run {call.get('run-id')} on {executor.eid} life {executor.life} "
                f"token {call.get('fence-token')}{' LATE' if late else ''}: {answer}")
        self.calls[call.get("task")].append(text)
        if target == "/run-start":
            self.received.append(recut.received(executor, call, answer))

    def draw_job(self, rng, draw_ms):
        """A key and a job of 2 to 5 tasks, whose length `draw_ms` draws."""
        key, cpu = f"{rng.getrandbits(64):016x}", self.task_cpu
        ms, count = draw_ms(rng), rng.randint(2, 5)
        step = {"count": count, "cpu": cpu, "mem-mb": cpu, "est-ms": ms}
        return key, {"spec": f"ms={ms} cpu={cpu} mem={cpu}", "steps": [step]}

    def submit_jobs(self, name, period_s, draw_ms):
        """Submits jobs, each once."""
        rng = self.rng(name)
        while not self.over.is_set():
            key, job = self.draw_job(rng, draw_ms)
            answer = rng.choice(self.processes).call("POST", f"/count/{key}", job)
            if answer and answer[0] == 200:
                self.accepted.append(key)
            self.over.wait(rng.uniform(0.4, 1.6) * period_s)

    def caller(self, name, period_s):
        rng = self.rng(name)
        while not self.over.is_set():
            key, job = self.draw_job(rng, lambda rng: rng.randrange(600, self.options.task_ms + 1))
            for _ in range(6):
                answer = rng.choice(self.processes).call("POST", f"/count/{key}", job)
                if answer and answer[0] == 200:
                    self.accepted.append(key)
                    break
                if self.over.wait(0.3):
                    return
            self.over.wait(rng.uniform(0.4, 1.6) * period_s)

    def leader(self):
        return next((p for p in self.processes if p.leads()), None)

    def complete(self):
        """How many jobs are shown as complete."""
        def state(key):
            return (self.processes[-1].call("GET", f"/count/{key}") or (0, {}))[1].get("state")
        return sum(state(key) == "complete" for key in self.accepted)

    def wait_until(self, at):
        time.sleep(max(0.0, at - now()))

    def note(self, text):
        self.record.line("disruption", text)


def disturb_role(play, rng):
    """Takes the role from its leader, or the store from all, for seconds; the leader may be the next one, too."""
    kind = rng.choice(["kill", "freeze", "term", "silent", "slow", "losing"])
    length = rng.uniform(2.0, 9.0)
    leader = play.leader()
    play.note(f"role: {kind} for {length:.1f} s, leader {leader and leader.name}")
    if kind in ("silent", "slow", "losing"):
        play.store.mode = kind
        time.sleep(length)
        play.store.mode = None
    elif leader is None:
        time.sleep(0.5)
    elif kind == "freeze":
        leader.signal(signal.SIGSTOP)
        time.sleep(length)
        leader.signal(signal.SIGCONT)
    else:
        leader.end_child() if kind == "kill" else leader.terminate(6.0)
        time.sleep(rng.uniform(0.2, 3.0))
        leader.spawn()
    play.note("role: over")
    time.sleep(rng.uniform(1.0, 4.0))


def restarts(play, rng, end):
    count = rng.randint(5, 8)
    play.note(f"{count} restarts")
    gap = (end - now()) / count
    begin = now()
    for i in range(count):
        play.wait_until(begin + gap * (i + rng.uniform(0.2, 0.8)))
        crash(play, rng.choice(play.executors), rng.choice([0.3, 0.8]))


def foreign(play, rng, end):
    while now() < end:
        executor = rng.choice(play.executors)
        ahead = rng.choice([3, 40, 400, 3_000, 60_000, 3_600_000])
        kinds = {"own": [SERVICE], "unnamed": ["none-such"]}.get(play.options.foreign, [SERVICE, "none-such"])
        service = rng.choice(kinds)
        play.note(f"an entry of another writer for {executor.eid}: service {service}, born {ahead} ms later")
        play.do(executor.list_foreign, service, ahead)
        time.sleep(rng.uniform(2.0, 4.0))


def role(play, rng, end):
    while now() < end:
        disturb_role(play, rng)


def large(play, rng, end):
    def roles():
        role_rng = play.rng("roles")
        while now() < end:
            time.sleep(role_rng.uniform(1.0, 4.0))
            disturb_role(play, role_rng)

    thread = threading.Thread(target=roles)
    thread.start()
    while now() < end:
        executor = rng.choice(play.executors)
        length = rng.choice([0.3, 0.8, rng.uniform(1.0, 8.0)])
        crash(play, executor, length) if rng.random() < 0.5 else cut(play, executor, max(1.0, length))
        time.sleep(rng.uniform(0.1, 0.8))
    thread.join()


FORMS = {
    "restarts": Form(restarts, 4, 1, 30, 3, [0.36, 0.6, 0.9], [0, 0, 0.1, 0.2, 0.3], [0], 0, False, [96_000], 200),
    "foreign": Form(foreign, 4, 0, 30, 3, [0.36, 0.9], [0, 0, 0.1, 0.2], [0], 0, False, [96_000], 200),
    "role": Form(role, 0, 6, 34, 3, [0.3, 0.6], [0.05, 0.1, 0.2], [0, 0.05], 0.05, True, [16_000, 48_000], 400),
    "large": Form(large, 32, 200, 30, 8, [0.25], [0.03, 0.1], [0.02], 0.05, True, [16_000], 800),
    "shown": Form(shown.run, 5, 12, 58, 4, [0.2, 0.4], [0], [0], 0, False, [4_000], 500),
    "busy": Form(busy.run, 3, 3, 30, 0, [1], [0], [0], 0, False, [192_000], 200),
    "recut": Form(recut.run, 1, 12, 48, 0, [1], [0], [0], 0, True, [64_000], 200),
}


def run(play, options):
    form, rng = FORMS[options.form], play.rng("faults")
    loss, late, cpu = rng.choice(form.losses), rng.choice(form.lates), rng.choice(zone.CPU if options.zone else form.cpu)
    period_s, play.task_cpu = rng.choice(form.period_s), form.task_cpu
    entries = options.entries or (zone.ENTRIES if options.zone else recut.ENTRIES if options.leader else form.entries) or rng.choice([1, 8])
    executors = options.executors or form.executors or rng.randint(1, 9)
    play.faults.slow_clock = form.slow_clock
    loss = options.loss if options.loss is not None else loss
    late = options.late if options.late is not None else late
    play.configure(1, [lab.queue("q", SERVICE, "/count/")], [SERVICE])
    play.add_executors(executors, cpu)
    if options.form == "busy":
        play.core = busy.pin(play, entries)
    else:
        play.start(entries)
    play.record.line("play", f"begun at {time.time() - now():.3f} s since 1970")
    play.record.line("play", f"form {options.form}, seed {options.seed}, {entries} entries, {executors} executors of "
                     f"{cpu}, loss {loss}, late {late}, slow {form.slow}, {form.callers} callers of a job each {period_s:.2f} s")
    callers = [threading.Thread(target=play.caller, args=(f"caller-{i}", period_s)) for i in range(form.callers)]
    for caller in callers:
        caller.start()
    play.watch.start(play)
    time.sleep(CALM_BEFORE_S)
    play.faults.loss, play.faults.late, play.faults.slow = loss, late, form.slow
    form.action(play, rng, now() + (options.seconds or form.seconds))
    play.faults.loss = play.faults.late = play.faults.slow = 0.0
    play.over.set()
    for caller in callers:
        caller.join()
    time.sleep(CALM_AFTER_S)
    play.watch.stop()
    return {"form": options.form, "seed": options.seed, "entries": entries, "executors": executors, "cpu": cpu, "loss": loss,
            "late": late, "period_s": period_s, "jobs": len(play.accepted), "complete": play.complete()}


def ended(_number, _frame):
    raise CannotRun("SIGTERM")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("form", choices=FORMS)
    parser.add_argument("--program", required=True, help="the program of the processes")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--entries", type=int, choices=range(1, 33), metavar="1..32")
    parser.add_argument("--executors", type=int, choices=range(1, 301), metavar="1..300")
    parser.add_argument("--seconds", type=float, help="of faults")
    parser.add_argument("--task-ms", type=int, default=3_500, help="longest task; leases last up to 6 s")
    parser.add_argument("--loss", type=float, help="share of calls to executors that are done and not answered")
    parser.add_argument("--late", type=float, help="share of calls that are done seconds later, and not answered")
    parser.add_argument("--foreign", choices=["own", "unnamed", "both"], default="both", help="service of foreign entries")
    recut.add_options(parser)
    parser.add_argument("--logs", required=True, help="folder for the logs and the record")
    options = parser.parse_args()
    os.makedirs(options.logs, exist_ok=True)
    os.environ["KEEP_LOGS"] = options.logs
    lab.PROGRAM = os.path.abspath(options.program)
    signal.signal(signal.SIGTERM, ended)
    code, play, result = 2, None, {}
    try:
        play = Play(options.logs, options)
        result = run(play, options)
        parallel, again = play.twice()
        starts = sum(len(runs) for runs in play.runs.values())
        same = sum(first[4] == second[4] for _, first, second, _ in parallel)
        result.update(starts=starts, parallel=len(parallel), same_executor=same, again=len(again), lag_s=round(play.worst_lag, 3))
        gone = busy.vanished(play) if options.form == "busy" else 0
        late, back = play.watch.late_starts(play.runs), play.watch.back
        result.update(vanished=gone, shown=len(late), back=len(back), lookups=play.watch.lookups)
        code = 1 if parallel or again or gone or late or back else 0
        if options.form == "recut":
            result.update(recut.counts(play))
            code = code or (0 if result["reached"] else 2)
        for process in play.processes:
            process.log.flush()
        returns = {executor.eid: executor.returns for executor in play.executors}
        findings.write(os.path.join(options.logs, "cases.txt"), play.folder, parallel, again, play.calls, returns)
        result.update(pictures=findings.tally(play.folder, parallel, play.calls, returns))
        findings.append_shown(os.path.join(options.logs, "cases.txt"), play.folder, late, back, play.calls)
    except CannotRun as error:
        result["error"] = str(error)
    finally:
        if play:
            play.over.set()
            play.watch.over.set()
            play.close()
    result["result"] = {0: "held", 1: "BROKEN", 2: "could not run"}[code]
    print(json.dumps(result), flush=True)
    os._exit(code)


main()
