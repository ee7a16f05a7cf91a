"""Stand-ins of the plays: those of review/lab.py, with the sentences of PROTOCOL.md that it leaves out.

An executor begins a run beside another run of the same task. Calls and their answers may be lost,
carried out late, or overtake each other. The store may be silent, slow, or lose answers.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass

from channels import POLL_S, HttpServer, lab
from lab import BEAT_S, DROP, STOP_MS, now, reply

TICK_S = 0.1
ENTRY_BACK_S = 2.0
FIRST_ENTRY_S = 0.5


@dataclass
class Faults:
    loss: float = 0.0
    late: float = 0.0
    slow: float = 0.0
    start_s: float = 0.0
    slow_clock: bool = False


class Record(lab.Record):
    """A record without a limit of lines."""

    def line(self, kind, text):
        with self.lock:
            self.counts[kind] += 1
            self.file.write(f"{now():8.3f} {kind} {text}\n")
            self.file.flush()


class Store(lab.Store):
    """`mode` is None, "silent", "slow" or "losing" (calls are carried out, half of the answers lost)."""

    def __init__(self, record, rng):
        super().__init__(record)
        self.random = rng
        self.mode = None

    async def handle(self, method, target, headers, body):
        if self.mode == "silent":
            return DROP
        if self.mode == "slow":
            await asyncio.sleep(self.random.uniform(0.2, 2.5))
        answer = await super().handle(method, target, headers, body)
        if self.mode == "losing" and self.random.random() < 0.5:
            return DROP
        return answer


# What the executors of `lab` open.
lab.HttpServer = HttpServer


class Executor(lab.Executor):
    """An executor that several runs of a task may run on. `faults` has the shares of calls whose
    answer is lost after the call was done (`loss`), that are done seconds later without an answer
    (`late`), and that are done or answered with a delay (`slow`).

    A call that arrives up to `reach_s` before a crashed executor is back is done by the new life, whose
    first entry is written up to `entry_s` after its return. With `late_s`, it does all calls of the dark, up to
    that long after its return, also while it is cut off. While `mute` is set, calls are done and not answered."""

    def __init__(self, play, eid, service, rng, faults, **options):
        self.rng, self.faults = rng, faults
        self.rate = rng.uniform(0.98, 1.0) if faults.slow_clock else 1.0
        self.back_at = None
        self.reach_s, self.entry_s, self.late_s, self.mute = 0.0, FIRST_ENTRY_S, None, False
        self.zones, self.held = None, False
        self.returns, self.carried = [], 0
        super().__init__(play, eid, service, **options)

    async def open(self):
        await super().open()
        self.server.carries_over = True
        return self

    def clock(self):
        return int((time.monotonic() - self.epoch) * 1000 * self.rate)

    async def live(self):
        beat = time.monotonic() + BEAT_S * self.rng.random()
        while True:
            left = (self.deadline - self.clock()) / 1000
            await asyncio.sleep(min(TICK_S, left + 0.001) if left >= 0 else TICK_S)
            self.lapse()
            at = time.monotonic()
            if self.down or self.away() or self.lab.store.mode == "silent":
                self.back_at = None
                if self.listed and at > self.last_beat + 3 * BEAT_S:
                    self.listed = False
                    self.lab.store.put("keyed.servers", self.eid, b"")
                    self.lab.record.line("platform", f"the entry of executor {self.eid} is removed")
            elif not self.listed:
                self.back_at = self.back_at or at + self.rng.uniform(0, ENTRY_BACK_S)
                if at >= self.back_at:
                    self.list()
            elif at >= beat:
                beat = at + BEAT_S
                self.list()

    def lapse(self):
        """Ends all that runs, once its lease has expired."""
        if not self.down and self.clock() > self.deadline:
            self.lapsed_at = now()
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def finish(self, run, life, how):
        if life == self.life and self.running.get((run.task, run.run)) is run:
            self.end(run, how)

    def end(self, run, how):
        del self.running[run.task, run.run]
        self.used_cpu -= run.cpu
        self.used_mem -= run.mem
        self.position += 1
        self.ended.append([self.position, run.task, run.run, how, ""])
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.run)
        self.lab.run_ended(self, run, how, self.position)
        self.changed.set()
        self.changed = asyncio.Event()

    def away(self):
        """Whether the executor is cut off from the store."""
        return self.cut or (self.zones is not None and self.zones.parts(self.zone, None))

    def parted(self, token):
        """Whether the executor is cut off from the leader with this fence token."""
        return self.cut or (self.zones is not None and self.zones.parts(self.zone, self.zones.leaders.get(token)))

    async def passes(self, token):
        """Whether a call or an answer arrives, at once or after a cut."""
        while self.parted(token):
            if not self.held:
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def come_back(self):
        """Waits for the next life and the call's turn in it; `False` for a call that is not done."""
        until = time.monotonic() + self.reach_s
        while self.down and (self.late_s is not None or time.monotonic() < until):
            await asyncio.sleep(POLL_S)
        if self.late_s is not None:
            await asyncio.sleep(self.rng.uniform(0, self.late_s))
        return not self.down

    async def handle(self, method, target, headers, body):
        token = json.loads(body).get("fence-token", 0)
        dark = self.down
        if not await (self.come_back() if dark else self.passes(token)):
            return DROP
        life = self.life
        if self.down:
            return DROP
        call = json.loads(body)
        if headers.get("expect-instance", self.eid) != self.eid:
            return reply(421, {"clock-ms": self.clock()})
        if target == "/run-start" and self.faults.start_s:
            self.lab.record.line("received", f"{call['task']} run {call['run-id']} at {self.eid[:8]}")
            await asyncio.sleep(self.rng.uniform(0, self.faults.start_s))
        received_at = now()
        draw = self.rng.random()
        if draw < self.faults.late:
            delay = self.rng.uniform(0.5, 5.0)
            asyncio.get_running_loop().call_later(delay, self.carry_out, target, call, life)
            return DROP
        if self.rng.random() < self.faults.slow:
            await asyncio.sleep(self.rng.uniform(0.02, 0.9))
            if self.parted(token) or self.down or life != self.life:
                return DROP
        answer = self.act(target, call, False)
        self.carried += dark and target == "/run-start" and answer[0] == 200
        if answer is None:
            answer = await self.hold(call, life)
            if self.faults.start_s:
                self.lab.record.line("hold", f"at {self.eid[:8]} received {received_at:.3f}, answered with "
                                     f"{len(self.running)} that run and {len(self.ended)} that ended")
        if self.rng.random() < self.faults.slow:
            await asyncio.sleep(self.rng.uniform(0.02, 0.9))
        if self.down or life != self.life or self.mute or self.rng.random() < self.faults.loss:
            return DROP
        return answer if await self.passes(token) and life == self.life else DROP

    def carry_out(self, target, call, life):
        """A call that comes late; one that was meant for an earlier life is not done."""
        if life != self.life or self.down:
            return
        if self.act(target, call, True) is None:
            asyncio.get_running_loop().create_task(self.hold({**call, "wait-ms": 0}, life))

    def act(self, target, call, late):
        """The answer to a start or a stop; None for a hold that may go on."""
        self.lapse()
        clock = {"clock-ms": self.clock()}
        if call.get("fence-token", 0) < self.token:
            answer = reply(409, {**clock, "reason": "fence"})
        else:
            self.token = call.get("fence-token", 0)
            if target == "/hold":
                return None
            if target == "/run-start":
                self.order = (self.token, late)
                answer = self.start(call, clock)
            elif target == "/run-stop":
                answer = self.stop(call, clock)
            else:
                answer = reply(404, {})
        if target != "/hold":
            reason = json.loads(answer[1]).get("reason", "")
            self.lab.call_seen(self, target, call, late, f"{answer[0]} {reason}".strip())
        return answer

    def start(self, call, clock):
        task, number = call["task"], call["run-id"]
        if call["deadline-ms"] <= self.clock():
            return reply(409, {**clock, "reason": "late"})
        self.extend(call["deadline-ms"])
        if (task, number) in self.running:
            return reply(200, clock)
        if number <= self.stopped.get(task, 0):
            return reply(409, {**clock, "reason": "old"})
        spec = {name: int(value) for name, value in (word.split("=") for word in call["spec"].split())}
        run = lab.Run(task, number, spec, spec.get("cpu", 1000), spec.get("mem", 100))
        if self.used_cpu + run.cpu > self.cpu or self.used_mem + run.mem > self.mem:
            return reply(409, {**clock, "reason": "room"})
        self.running[task, number] = run
        self.used_cpu += run.cpu
        self.used_mem += run.mem
        run.order = self.order
        self.lab.run_started(self, run)
        delay = spec.get("ms", 400) / 1000
        asyncio.get_running_loop().call_later(delay, self.finish, run, self.life, "done")
        return reply(200, clock)

    def stop(self, call, clock):
        task, number = call["task"], call["run-id"]
        self.stopped[task] = max(self.stopped.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            delay = self.rng.uniform(0.1, 0.95) * STOP_MS / 1000
            asyncio.get_running_loop().call_later(delay, self.finish, run, self.life, "stopped")
        return reply(200, clock)

    def list(self, state="ready"):
        if self.lab.store.mode != "silent" and not self.away():
            super().list(state)

    def restart(self):
        """Begins a new life, which may answer before its entry is written."""
        self.server.life += 1
        self.begin_life()
        self.down = False
        self.returns.append(now())
        asyncio.get_running_loop().call_later(self.rng.uniform(0, self.entry_s), self.list_life, self.life)
        self.lab.record.line("disruption", f"executor {self.eid} is back, born {self.born}")

    def list_life(self, life):
        if life == self.life and not self.down:
            self.list()

    def list_foreign(self, service, ahead_ms):
        """Writes a well-formed entry of another writer, whose `born` is later than this executor's."""
        known = self.lab.store.topic("keyed.servers").newest.get(self.eid)
        if known is None:
            return
        entry = json.loads(known[0])
        entry.update({"service": service, "born": self.born + ahead_ms, "seq": 1})
        self.lab.store.put("keyed.servers", self.eid, json.dumps(entry))


def crash(play, executor, dark_s):
    if executor.down or executor.cut:
        return
    play.do(executor.crash)
    play.note(f"{executor.eid} stays down for {dark_s:.1f} s")
    play.loop.call_soon_threadsafe(play.loop.call_later, dark_s, executor.restart)


def cut(play, executor, dark_s):
    """The executor goes on, and nobody reaches it or hears of it."""
    if executor.down or executor.cut:
        return
    def back():
        executor.cut = False
        executor.server.life += not executor.held
        play.note(f"{executor.eid} is reached again")
    executor.cut = True
    play.note(f"{executor.eid} can't be reached for {dark_s:.1f} s")
    play.loop.call_soon_threadsafe(play.loop.call_later, dark_s, back)
