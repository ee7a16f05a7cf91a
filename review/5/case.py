"""The operator removes a route and puts it back 4 s later. Meanwhile tasks of its jobs fail for the
second time, of the four attempts that every configuration with the route allows."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab as review
from lab import TROUBLE, CannotRun, queue

ATTEMPTS = 4
JOBS = 6


def case(lab):
    route = queue("q", "s", "/count/", attempts=ATTEMPTS)
    other = queue("o", "s", "/other/", attempts=ATTEMPTS)
    lab.configure(1, [route, other], ["s"])
    for i in range(9):
        lab.add_executor(f"{i + 1}f3c2d1e0a9b8c7d", "s", zone=f"z{i % 3}", rack=f"r1-{i // 4}", cpu=16_000)
    lab.start(3)
    step = {"count": 2, "cpu": 1000, "mem-mb": 900, "est-ms": 1_500}
    # The first three runs of each task fail, the fourth is done.
    job = {"spec": "ms=1500 cpu=1000 mem=900 fail=3", "steps": [step]}
    paths = {f"{i:016x}": f"/count/{i:016x}" for i in range(JOBS)}
    for i, path in enumerate(paths.values()):
        if not lab.submit(lab.processes[i % 3], path, job):
            raise CannotRun("a job was not accepted")
        time.sleep(0.3)
    if TROUBLE:
        lab.record.line("disruption", "the operator removes the route /count/")
        lab.configure(2, [other], ["s"])
        time.sleep(4)
        lab.record.line("disruption", "the operator adds the route again, as it was")
        lab.configure(3, [route, other], ["s"])
    time.sleep(12)
    broken = 0
    for key, path in paths.items():
        answer = lab.processes[0].call("GET", path)
        failures = max(sum(run[2] == "failed" for run in lab.runs[task]) for task in lab.started(key))
        lab.record.line("requester", f"GET {path}: {answer}; most failed runs of a task: {failures}")
        print(path, answer, failures)
        if answer and answer[1].get("state") == "failed" and failures < ATTEMPTS:
            broken += 1
            lab.record.line("broken", f"LOST: job {key} is shown as failed after {failures} failed runs of a task, {ATTEMPTS} are allowed")
    return not broken


review.main(case, HERE)
