"""One executor at a time crashes, is dark for 0.8 s, and starts again under the id that it had."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab as review
from lab import TROUBLE, CannotRun, now, queue

DARK_S = 0.8
ROUNDS = 10


def case(lab):
    lab.configure(1, [queue("q", "s", "/count/")], ["s"])
    for i in range(9):
        lab.add_executor(f"{i + 1}f3c2d1e0a9b8c7d", "s", zone=f"z{i % 3}", rack=f"r{i % 3}-{i // 4}")
    executors = lab.executors
    lab.start(3)
    step = {"count": 6, "cpu": 880, "mem-mb": 900, "est-ms": 1_000}
    job = {"spec": "ms=1000 cpu=880 mem=900", "steps": [step]}
    accepted = []
    next_crash, crashed = now() + 3, 0
    end = now() + 3 + ROUNDS * 4
    while now() < end:
        i = len(accepted)
        if not lab.submit(lab.processes[i % 3], f"/count/{i:016x}", job):
            raise CannotRun("a job was not accepted")
        accepted.append(i)
        time.sleep(0.16)
        if TROUBLE and crashed < ROUNDS and now() >= next_crash:
            recent = [r[4] for runs in lab.runs.values() for r in runs if r[0] > now() - 0.5]
            executor = max(executors, key=lambda e: recent.count(e.eid))
            lab.record.line("disruption", f"executor {executor.eid} goes dark for {DARK_S} s")
            lab.do(executor.crash)
            crashed += 1
            next_crash += 4
            lab.loop.call_soon_threadsafe(lambda e=executor: lab.loop.call_later(DARK_S, e.restart))
    time.sleep(12)
    done = sum(1 for i in accepted if (lab.processes[0].call("GET", f"/count/{i:016x}") or (0, {}))[1].get("state") == "complete")
    parallel, again = lab.twice()
    for task, first, second, length in parallel[:50]:
        lab.record.line("broken", f"TWICE: {task} run {first[3]} on {first[4][:8]} began {first[0]:.3f}, ended {first[1]} "
                        f"{first[2]}; run {second[3]} on {second[4][:8]} began {second[0]:.3f}: together for {length:.3f} s")
    lab.record.line("case", f"{done} of {len(accepted)} jobs complete, {len(parallel)} parallel, {len(again)} again")
    print(f"{done} of {len(accepted)} complete, {len(parallel)} parallel {[round(p[3],3) for p in parallel[:10]]}, {len(again)} again")
    return not again and not parallel


review.main(case, HERE)
