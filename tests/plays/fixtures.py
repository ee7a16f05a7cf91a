"""What the tests of the plays begin with."""

import asyncio
import collections
import json
import random
import tempfile
import unittest
from types import SimpleNamespace

import standins
from standins import DROP, lab

TASK = "00000000000000aa.0.0.0"


class Play(lab.Lab):
    """What an executor needs of a play, without a thread of its own."""

    def __init__(self, folder):
        self.record = standins.Record(f"{folder}/record.txt")
        self.store = standins.Store(self.record, random.Random(1))
        self.runs, self.by_end = collections.defaultdict(list), {}
        self.lock = lab.threading.Lock()

    def run_started(self, executor, run):
        super().run_started(executor, run)
        run.entry.append(run.order)

    def call_seen(self, *call):
        pass


def faults(**given):
    return SimpleNamespace(**{"loss": 0.0, "late": 0.0, "slow": 0.0, "start_s": 0.0, "slow_clock": False, **given})


class ExecutorCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.play = Play(folder.name)
        self.addCleanup(self.play.record.file.close)

    def executor(self, **given):
        executor = standins.Executor(self.play, "i-1", "s", random.Random(1), faults(**given), cpu=1_000, mem=1_000)
        executor.server = SimpleNamespace(text="127.0.0.1:1", life=1)
        executor.list()
        live = asyncio.get_running_loop().create_task(executor.live())
        self.addCleanup(live.cancel)
        return executor

    async def call(self, executor, target, token=1, **fields):
        """The status and the answer of a call, or None."""
        body = {"fence-token": token, "task": TASK, **fields}
        answer = await executor.handle("POST", target, {}, json.dumps(body).encode())
        return None if answer is DROP else (answer[0], json.loads(answer[1]))

    async def start(self, executor, number, length_ms=3_000, held_ms=6_000, token=1):
        spec = f"ms={length_ms} cpu=100 mem=100"
        deadline = executor.clock() + held_ms
        answer = await self.call(executor, "/run-start", token, spec=spec, **{"run-id": number, "deadline-ms": deadline})
        return answer and (answer[0], answer[1].get("reason"))

    async def stop(self, executor, number):
        await self.call(executor, "/run-stop", **{"run-id": number})

    async def hold(self, executor, cursor=0, **fields):
        return (await self.call(executor, "/hold", **{"ack-cursor": cursor, **fields}))[1]
