"""Tests of new lives, cuts and zones of the form `recut`: python3 -m unittest discover tests/plays"""

import asyncio
import os
import tempfile
import unittest
from types import SimpleNamespace

import channels
import findings
import recut
import zone
from fixtures import TASK, ExecutorCase
from standins import DROP, lab, now


class NewLives(ExecutorCase):
    def fall_dark(self, executor, dark_s, reach_s=0.4):
        executor.reach_s = reach_s
        executor.crash()
        asyncio.get_running_loop().call_later(dark_s, executor.restart)

    async def test_a_call_made_in_the_dark_reaches_the_new_life(self):
        executor = self.executor()
        await asyncio.sleep(1.0)
        self.fall_dark(executor, 0.2)

        answer = await self.start(executor, 1, held_ms=4_000)

        self.assertEqual(answer, (200, None))
        self.assertEqual((executor.life, list(executor.running)), (2, [(TASK, 1)]))
        self.assertGreater(executor.deadline - executor.clock(), 4_500)

    async def test_a_call_whose_caller_has_left_is_not_done(self):
        executor = self.executor()
        self.fall_dark(executor, 0.4, reach_s=0.2)

        answer = await self.start(executor, 1)
        await asyncio.sleep(0.4)

        self.assertIsNone(answer)
        self.assertEqual((executor.life, self.play.runs), (2, {}))

    async def test_a_call_before_the_crash_is_not_answered_by_the_new_life(self):
        executor = self.executor()
        hold = asyncio.create_task(self.call(executor, "/hold", **{"ack-cursor": 0, "wait-ms": 400}))
        await asyncio.sleep(0.05)

        self.fall_dark(executor, 0.05)

        self.assertIsNone(await hold)

    async def test_a_mute_executor_does_its_calls(self):
        executor = self.executor()
        executor.mute = True

        answer = await self.start(executor, 1)

        self.assertIsNone(answer)
        self.assertEqual(list(executor.running), [(TASK, 1)])

    async def test_a_late_call_of_the_dark_is_done_after_its_caller_has_left(self):
        executor = self.executor()
        executor.late_s = 0.5
        executor.rng.uniform = lambda _low, high: high
        self.fall_dark(executor, 0.2, reach_s=0.1)

        caller = asyncio.create_task(self.start(executor, 1))
        await asyncio.sleep(0.4)
        before = len(executor.running)
        await asyncio.sleep(0.4)

        self.assertEqual((before, list(executor.running), executor.carried), (0, [(TASK, 1)], 1))
        await caller

    async def test_a_late_call_of_the_dark_is_done_in_a_cut_and_not_answered(self):
        executor = self.executor()
        executor.late_s = 0.2
        self.fall_dark(executor, 0.1)
        asyncio.get_running_loop().call_later(0.1, setattr, executor, "cut", True)

        answer = await self.start(executor, 1)

        self.assertIsNone(answer)
        self.assertEqual(list(executor.running), [(TASK, 1)])

    async def test_calls_after_the_return_are_done_at_once(self):
        executor = self.executor()
        executor.late_s = 30.0
        executor.crash()
        executor.restart()

        answer = await asyncio.wait_for(self.start(executor, 1), 0.2)

        self.assertEqual(answer, (200, None))
        self.assertEqual(executor.carried, 0)


class Cuts(ExecutorCase):
    def end_cut(self, executor, after_s):
        asyncio.get_running_loop().call_later(after_s, setattr, executor, "cut", False)

    async def test_a_held_call_is_done_at_the_end_of_the_cut(self):
        executor = self.executor()
        executor.held = executor.cut = True
        self.end_cut(executor, 0.2)

        caller = asyncio.create_task(self.start(executor, 1))
        await asyncio.sleep(0.1)
        before = len(executor.running)

        self.assertEqual((await caller, before), ((200, None), 0))

    async def test_a_held_answer_is_of_the_time_of_its_call(self):
        executor = self.executor()
        executor.held = True
        caller = asyncio.create_task(self.hold(executor, **{"wait-ms": 300}))
        await asyncio.sleep(0.05)
        executor.cut = True
        self.end_cut(executor, 0.6)

        answer = await caller

        self.assertLess(answer["clock-ms"], executor.clock() - 200)

    async def test_a_zone_that_is_cut_whole_obeys_leaders_of_its_own_only(self):
        executor = self.executor()
        executor.zone, executor.zones = "z0", channels.Zones(held=False)
        executor.zones.leaders.update({3: "z0", 4: "z1"})
        executor.zones.cut = "z0"

        answers = [await self.start(executor, 1, token=token) for token in (3, 4)]

        self.assertEqual(answers, [(200, None), None])
        self.assertTrue(executor.away())

    async def test_executors_of_other_zones_obey_leaders_outside_the_cut_only(self):
        executor = self.executor()
        executor.zone, executor.zones = "z2", channels.Zones(held=False)
        executor.zones.leaders.update({3: "z0", 4: "z1"})
        executor.zones.cut = "z0"

        answers = [await self.start(executor, 1, token=token) for token in (3, 4)]

        self.assertEqual(answers, [None, (200, None)])
        self.assertFalse(executor.away())


class Gates(ExecutorCase):
    def gate(self, zone, held=False):
        zones = channels.Zones(held)
        zones.cut = "z0"
        return channels.Gate(self.play.store, zones, zone)

    async def append(self, gate):
        target = "/log-append?topic=t&part=0&producer=p&epoch=7&seq=1"
        return await gate.handle("POST", target, {}, lab.frame("k", b"v"))

    async def test_a_process_of_the_cut_zone_does_not_reach_the_store(self):
        inside, outside = self.gate("z0"), self.gate("z1")

        answers = [await self.append(gate) for gate in (inside, outside)]

        self.assertIs(answers[0], DROP)
        self.assertEqual(answers[1][0], 200)
        self.assertEqual(outside.zones.leaders, {7: "z1"})

    async def test_a_held_call_reaches_the_store_after_the_cut(self):
        gate = self.gate("z0", held=True)
        asyncio.get_running_loop().call_later(0.1, setattr, gate.zones, "cut", None)

        answer = await self.append(gate)

        self.assertEqual(answer[0], 200)

    async def test_addresses_of_processes_are_those_of_links(self):
        gate = self.gate("z1")
        gate.links = [("127.9.200.3", 50_001)]
        before, after = b"\x7f\x09\xcc\xc8\x03", b"\xcd\xc3\x51"
        entry = b"x\x94" + before + b"\xcd\x1b\x59"
        await gate.handle("POST", "/log-append?topic=t&part=0", {}, lab.frame("k", entry))

        answer = await gate.handle("GET", "/log-read?topic=t&part=0&from=0", {}, b"")

        self.assertIn(b"x\x94" + before + after, answer[1])
        self.assertNotIn(entry, answer[1])


class Links(unittest.IsolatedAsyncioTestCase):
    async def ask(self, held):
        """What comes back over a link in a cut of 0.2 s."""
        async def echo(reader, writer):
            writer.write(await reader.read(10))
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        zones = channels.Zones(held)
        link = channels.Link(zones, ("z0", "z1"), server.sockets[0].getsockname()[:2])
        reader, writer = await asyncio.open_connection("127.0.0.1", await link.open())
        zones.cut = "z0"
        asyncio.get_running_loop().call_later(0.2, setattr, zones, "cut", None)
        writer.write(b"call")
        begin = now()
        try:
            data = await asyncio.wait_for(reader.read(10), 1.0)
        except ConnectionError:
            data = b""
        writer.close()
        await asyncio.sleep(0.05)
        link.server.close()
        server.close()
        return data, now() - begin > 0.15

    async def test_a_cut_drops_or_holds_what_processes_send(self):
        self.assertEqual(await self.ask(held=True), (b"call", True))
        self.assertEqual(await self.ask(held=False), (b"", True))


class Pictures(unittest.TestCase):
    def run_of(self, how, number, executor, noted=False):
        return [10.0, 14.0 if how else None, how, number, executor, 1, noted, (1, False)]

    def test_a_run_is_told_in_the_words_of_the_record(self):
        returns = {"i-1": [4.0, 9.5], "i-2": [20.0]}
        calls = ["12.000 /run-stop run 2 on i-2 life 1 token 1: 200"]

        pictures = [findings.picture(run, calls, returns) for run in (
            self.run_of("done", 1, "i-1", noted=True), self.run_of("stopped", 2, "i-2"),
            self.run_of("crashed", 22, "i-2"), self.run_of(None, 3, "i-3"),
            [24.0, 25.0, "done", 4, "i-1", 1, False, (1, False)],
            [24.0, 25.0, "done", 4, "i-3", 1, False, (1, False), "acknowledged"])]

        self.assertEqual(pictures, ["back done noted no stop", "sound stopped stop", "sound died no stop",
                                    "sound goes on no stop", "sound done no stop",
                                    "sound done noted after a lapse no stop"])

    def test_pictures_are_counted_with_who_ordered_them(self):
        with tempfile.TemporaryDirectory() as folder:
            for process, number in (("edge-1", 1), ("edge-2", 2)):
                with open(os.path.join(folder, f"{process}.log"), "w", encoding="utf-8") as file:
                    file.write(f"time=x level=info event=start task={TASK} run={number} target=i-1\n")
            pair = (TASK, self.run_of("done", 1, "i-1", noted=True), self.run_of("done", 2, "i-2"), 1.0)

            found = findings.tally(folder, [pair], {}, {"i-1": [9.0]})

        self.assertEqual(found, {"back done noted no stop > sound done no stop, two processes": 1})


class Zones(unittest.TestCase):
    def test_the_zone_with_most_of_the_last_starts_is_struck(self):
        executors = [SimpleNamespace(eid=f"i-{i}", zone=f"z{i}") for i in range(3)]
        starts = [SimpleNamespace(target=f"i-{i}") for i in [0] * 60 + [2] * 30 + [1] * 10]

        drawn = [zone.draw_zone(SimpleNamespace(executors=executors, received=received)) for received in (starts, [])]

        self.assertEqual(drawn, ["z2", "z0"])


class ReachedLives(unittest.TestCase):
    def count(self, meant_born, began=True):
        with tempfile.TemporaryDirectory() as folder:
            with open(f"{folder}/edge-1.log", "w", encoding="utf-8") as file:
                file.write(f"time=x level=info event=start task={TASK} run=2 target=i-1 born={meant_born} epoch=1\n")
            start = recut.Received(1.0, TASK, 2, "i-1", 100, 6_000, began)
            return len(recut.reached(SimpleNamespace(folder=folder, received=[start])))

    def test_a_start_counts_if_another_life_has_begun_it(self):
        self.assertEqual(self.count(meant_born=90), 1)
        self.assertEqual(self.count(meant_born=100), 0)
        self.assertEqual(self.count(meant_born=90, began=False), 0)


if __name__ == "__main__":
    unittest.main()
