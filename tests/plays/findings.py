"""What broke in a play: pairs of runs of a task, and the lines that the processes and executors wrote of them."""

import collections
import glob
import os
import re

NEAR_S = 4.0
LINES = 60
DETAILED = 10
BACK_S = 14.0


def describe(run):
    """A run: [began, ended, how, number, executor, N, noted, (fence token, late)]."""
    ended = f"ended {run[1]:.3f} {run[2]}{', noted' if run[6] else ''}" if run[1] is not None else "goes on"
    late = ", order late" if run[7][1] else ""
    return f"run {run[3]} on {run[4]} began {run[0]:.3f}, {ended}, fence token {run[7][0]}{late}"


def stop_arrived(run, calls):
    """Whether a stop of the run has reached its executor."""
    return any(f" /run-stop run {run[3]} on {run[4]} " in f"{call} " for call in calls)


def back_s(run, returns):
    """How long after its executor's last return a run began, below 0 if it began before; None if it is not recent."""
    until = float("inf") if run[1] is None else run[1]
    after_s = next((run[0] - at for at in reversed(returns.get(run[4], [])) if at <= until), None)
    return None if after_s is None or after_s > BACK_S else after_s


def picture(run, calls, returns):
    """A run in the words of the users' record: where, how it ended, whether that was noted, whether a stop arrived."""
    place = "sound" if back_s(run, returns) is None else "back"
    ended = {None: "goes on", "crashed": "died"}.get(run[2], run[2])
    noted = " noted" if run[6] else " noted after a lapse" if "acknowledged" in run else ""
    return f"{place} {ended}{noted}{' stop' if stop_arrived(run, calls) else ' no stop'}"


def orderers(logs, task, number):
    return ", ".join(orderer(logs, task, number)) or "unknown"


def logs_of(folder):
    return sorted(glob.glob(os.path.join(folder, "*.log")))


def tally(folder, parallel, calls, returns):
    """How often each picture of a pair was seen; the run that began first comes first."""
    logs, found = logs_of(folder), collections.Counter()
    for task, first, second, _ in parallel:
        same = orderers(logs, task, first[3]) == orderers(logs, task, second[3])
        pair = " > ".join(picture(run, calls.get(task, []), returns) for run in (first, second))
        found[f"{pair}, {'one process' if same else 'two processes'}"] += 1
    return dict(found.most_common())


def orderer(logs, task, number):
    """The processes that logged the start of a run."""
    pattern = re.compile(rf"\bstart\b.*task={re.escape(task)}\b.*\brun={number}\b")
    found = []
    for path in logs:
        with open(path, errors="replace") as file:
            if any(map(pattern.search, file)):
                found.append(os.path.basename(path)[:-4])
    return found


def lines_of(logs, task, targets):
    """Lines of the logs on a task, and on the restarts and silences of its targets, by time."""
    found = []
    for path in logs:
        for line in open(path, errors="replace"):
            of_task = task in line
            of_target = any(target in line for target in targets) and re.search(
                r"event=(target_|restart_|runs_given_up|role_)", line)
            if of_task or of_target:
                found.append((line, os.path.basename(path)[:-4], bool(of_task)))
    found.sort()
    return found


def near(found):
    """The lines of a task, and those of its targets between its first and its last."""
    own = [i for i, (_, _, of_task) in enumerate(found) if of_task]
    return found[max(0, own[0] - 4) : own[-1] + 4] if own else []


def write(path, folder, parallel, again, calls, returns):
    """Writes each case with its two runs, those on one executor first, and the lines of the first ten."""
    logs = logs_of(folder)
    cases = [("parallel", *case[:3], case[3]) for case in parallel] + [("again", *case, None) for case in again]
    cases.sort(key=lambda case: case[2][4] != case[3][4])
    with open(path, "w", encoding="utf-8") as file:
        for index, (kind, task, first, second, length) in enumerate(cases):
            together = f", together for {length:.3f} s" if length is not None else ""
            same = "the same executor" if first[4] == second[4] else "two executors"
            file.write(f"TWICE ({kind}, {same}{together}): {task}\n")
            for run in (first, second):
                after_s = back_s(run, returns)
                back = "" if after_s is None else f", its executor was back {after_s:.3f} s before"
                file.write(f"  {picture(run, calls.get(task, []), returns)}{back}: {describe(run)}, "
                           f"ordered by {orderers(logs, task, run[3])}\n")
            if index < DETAILED:
                write_details(file, logs, task, {first[4], second[4]}, calls)
    return cases


def write_details(file, logs, task, targets, calls):
    for call in calls.get(task, []):
        file.write(f"    call {call}\n")
    for line, process, _ in near(lines_of(logs, task, targets))[:LINES]:
        file.write(f"    {process}: {line.rstrip()}\n")


def append_shown(path, folder, late, back, calls):
    """Adds the starts after an end that was shown, and the states that went back."""
    logs = logs_of(folder)
    with open(path, "a", encoding="utf-8") as file:
        for index, (task, shown, run) in enumerate(late):
            file.write(f"TWICE (shown): {task} began {run[0] - shown.at:.3f} s after its job was shown as {shown.state} "
                       f"by {shown.process} at {shown.at:.3f}\n")
            file.write(f"  {describe(run)}, ordered by {orderers(logs, task, run[3])}\n")
            if index < DETAILED:
                write_details(file, logs, task, {run[4]}, calls)
        for key, before, after in back:
            file.write(f"SHOWN (went back): job {key} was {before.state} at {before.process} at {before.at:.3f}, "
                       f"then {after.state} at {after.process} at {after.at:.3f}\n")
