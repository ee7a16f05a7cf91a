"""The form `busy`: entries that are short of processor time, many short tasks, and starts that are done a little late."""

import glob
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time

from standins import now

ROW = re.compile(r"\brun_missing\b.*task=(\S+)\b.*\brun=(\d+)\b.*cause=\"?vanished")


def pin(play, entries):
    """Starts the processes, all on one processor."""
    before = os.sched_getaffinity(0)
    core = play.rng("core").choice(sorted(before))
    os.sched_setaffinity(0, {core})
    try:
        play.start(entries)
    finally:
        os.sched_setaffinity(0, before)
    return core


def draw_ms(rng):
    return rng.randrange(100, 601)


def run(play, rng, end):
    """Busy processes beside the entries, and a leader that is stopped for 5 to 50 ms again and again."""
    spinners, stops = rng.choice([0, 1, 2]), rng.random() < 0.5
    play.faults.start_s = rng.choice([0.01, 0.03, 0.06])
    before = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {play.core})
    busy = [subprocess.Popen([sys.executable, "-c", f"import time\nend = time.monotonic() + {end - now():.1f}\n"
                              "while time.monotonic() < end: pass"]) for _ in range(spinners)]
    os.sched_setaffinity(0, before)
    play.note(f"{spinners} busy processes, stops {stops}, starts up to {play.faults.start_s} s late")
    callers = [threading.Thread(target=play.submit_jobs, args=(f"busy-{i}", 0.08, draw_ms)) for i in range(8)]
    for thread in callers:
        thread.start()
    leader = play.leader()
    try:
        while now() < end:
            time.sleep(rng.uniform(0.02, 0.2))
            if stops and leader:
                leader.signal(signal.SIGSTOP)
                time.sleep(rng.uniform(0.005, 0.05))
                leader.signal(signal.SIGCONT)
    finally:
        play.over.set()
        for process in busy:
            process.kill()
            process.wait()
        for thread in callers:
            thread.join()
        play.faults.start_s = 0.0


def vanished(play):
    """Runs that the leader took for gone although the target has them: the line, and the run as the executor saw it."""
    for process in play.processes:
        process.log.flush()
    found = []
    for path in sorted(glob.glob(os.path.join(play.folder, "*.log"))):
        with open(path, errors="replace") as file:
            for line in file:
                row = ROW.search(line)
                runs = play.runs.get(row[1].strip('"'), []) if row else []
                found += [{"line": line.strip(), "run": run} for run in runs if run[3] == int(row[2])]
    with open(os.path.join(play.options.logs, "vanished.txt"), "w", encoding="utf-8") as file:
        file.writelines(json.dumps(case) + "\n" for case in found)
    return len(found)
