"""All executors that a queue's jobs may run on go dark for 6.5 s; jobs come right after."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab as review
from lab import TROUBLE, CannotRun, now, queue

DARK_S = 6.5


def pending(process):
    answer = process.call("GET", "/count/")
    return answer[1].get("pending") if answer and answer[0] == 200 else None


def case(lab):
    lab.configure(1, [queue("q", "s", "/count/")], ["s"])
    for i in range(9):
        lab.add_executor(f"{i + 1}f3c2d1e0a9b8c7d", "s", zone=f"z{i % 3}", rack=f"r1-{i // 4}", cpu=16_000)
    rack = [e for e in lab.executors if e.rack == "r1-0"]
    lab.start(3)
    step = {"count": 2, "cpu": 1000, "mem-mb": 900, "est-ms": 300, "required-label": "r1-0"}
    job = {"spec": "ms=300 cpu=1000 mem=900", "steps": [step]}
    if TROUBLE:
        lab.record.line("disruption", f"the four executors of rack r1-0 are dark for {DARK_S} s")
        for executor in rack:
            lab.do(executor.crash)
            lab.loop.call_soon_threadsafe(lambda e=executor: lab.loop.call_later(DARK_S, e.restart))
    accepted = {}
    for i in range(6):
        if not lab.submit(lab.processes[i % 3], f"/count/{i:016x}", job):
            raise CannotRun("a job was not accepted")
        accepted[f"{i:016x}"] = now()
    broken = 0
    end = now() + 9
    while now() < end:
        time.sleep(0.2)
        for process in lab.processes:
            at = now()
            # Accepted over visible_ms + 2 s before, and not begun even after the answer.
            due = [j for j, since in accepted.items() if at - since > 5.0]
            shown = pending(process)
            waiting = [j for j in due if not lab.started(j)]
            lab.record.line("requester", f"GET /count/ at {process.name}: pending {shown}; {len(waiting)} jobs accepted over 5 s ago wait")
            if shown is not None and shown * 2 < len(waiting):
                broken += 1
                lab.record.line("broken", f"MIXED: {process.name} gives {shown} as pending, {len(waiting)} jobs wait")
    print(f"{broken} answers with too few pending jobs")
    return not broken


review.main(case, HERE)
