"""An executor with many short tasks is cut off for 2.5 s and runs on; more than 500 of its runs
end meanwhile. It lists 500 ends at a time."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab as review
from lab import TROUBLE, CannotRun, now, queue

TASKS = 900  # In jobs of 20.
JOB = 20
CUT_S = 2.5


def case(lab):
    lab.configure(1, [queue("q", "s", "/count/")], ["s"])
    for i in range(9):
        lab.add_executor(f"{i + 1}f3c2d1e0a9b8c7d", "s", zone=f"z{i % 3}", rack=f"r{i % 3}-{i // 4}")
    executors = lab.executors
    lab.start(3)
    step = {"count": JOB, "cpu": 60, "mem-mb": 100, "est-ms": 2_000}
    job = {"spec": "ms=2000 cpu=60 mem=100", "steps": [step]}
    for i in range(TASKS // JOB):
        if not lab.submit(lab.processes[i % 3], f"/count/{i:016x}", job):
            raise CannotRun("a job was not accepted")
    lab.wait("all tasks to run", 10, lambda: len(lab.started("")) >= TASKS)
    cut = max(executors, key=lambda e: len(e.running))
    lab.record.line("case", f"all tasks run; {[len(e.running) for e in executors]} are running")
    if TROUBLE:
        lab.record.line("disruption", f"executor {cut.eid} is cut off for {CUT_S} s and runs on")
        cut.cut = True
        time.sleep(CUT_S)
        cut.cut = False
        lab.record.line("disruption", f"the cut ends; {len(cut.ended)} ends are listed")
    until = now() + 20
    done = 0
    while now() < until and done < TASKS // JOB:
        time.sleep(0.5)
        states = [lab.processes[0].call("GET", f"/count/{i:016x}") for i in range(TASKS // JOB)]
        done = sum(1 for s in states if s and s[1].get("state") == "complete")
    lab.record.line("case", f"{done} of {TASKS // JOB} jobs are complete")
    time.sleep(1)
    parallel, again = lab.twice()
    for task, first, second in again[:50]:
        lab.record.line("broken", f"TWICE: {task} ended done at {first[1]:.3f} (run {first[3]}), which was taken note "
                        f"of, and run {second[3]} was started at {second[0]:.3f}")
    lab.record.line("case", f"{len(again)} tasks started after a noted end done, {len(parallel)} pairs of parallel runs")
    print(f"{len(again)} starts after a noted end, {len(parallel)} parallel pairs, {done} jobs complete")
    return not again and not parallel


review.main(case, HERE)
