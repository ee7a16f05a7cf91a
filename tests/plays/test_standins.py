"""Tests of the executors and the store of the plays (PROTOCOL.md): python3 -m unittest discover tests/plays"""

import asyncio
import collections
import random
import tempfile
import unittest

import shown
import standins
from fixtures import TASK, ExecutorCase
from standins import DROP, lab

class Executors(ExecutorCase):
    async def test_any_number_begins_beside_a_run(self):
        executor = self.executor()

        answers = [await self.start(executor, number) for number in (2, 3, 1, 3)]

        self.assertEqual(answers, [(200, None)] * 4)
        self.assertEqual([row[1] for row in (await self.hold(executor))["running"]], [2, 3, 1])

    async def test_numbers_up_to_a_stopped_one_are_refused(self):
        executor = self.executor()
        await self.stop(executor, 2)

        answers = [await self.start(executor, number) for number in (1, 2, 3)]

        self.assertEqual(answers, [(409, "old"), (409, "old"), (200, None)])

    async def test_numbers_up_to_an_ended_one_are_refused(self):
        executor = self.executor()
        await self.start(executor, 2, length_ms=50)
        await asyncio.sleep(0.15)

        answers = [await self.start(executor, number) for number in (1, 2, 3)]

        self.assertEqual(answers, [(409, "old"), (409, "old"), (200, None)])

    async def test_a_stop_ends_its_own_run_in_time(self):
        executor = self.executor()
        await self.start(executor, 1)
        await self.start(executor, 2)

        await self.stop(executor, 1)
        at_once = len((await self.hold(executor))["running"])
        await asyncio.sleep(0.45)
        later = await self.hold(executor)

        self.assertEqual(at_once, 2)
        self.assertEqual([row[1] for row in later["running"]], [2])
        self.assertEqual([row[1:4] for row in later["finished"]], [[TASK, 1, "stopped"]])

    async def test_lower_tokens_are_refused(self):
        executor = self.executor()
        await self.start(executor, 1, token=5)

        answer = await self.start(executor, 2, token=4)

        self.assertEqual(answer, (409, "fence"))

    async def test_runs_end_with_their_lease(self):
        executor = self.executor(slow_clock=True)
        await self.start(executor, 1, held_ms=300)

        await asyncio.sleep(0.25)
        before = executor.clock()
        running = len(executor.running)
        await asyncio.sleep(0.15)

        self.assertLess(before, 300)
        self.assertEqual(running, 1)
        self.assertEqual([row[3] for row in (await self.hold(executor))["finished"]], ["lapsed"])

    async def test_a_deadline_is_limited_and_never_shortens(self):
        executor = self.executor()

        await self.hold(executor, **{"deadline-ms": 60_000})
        longest = executor.deadline
        await self.hold(executor, **{"deadline-ms": 10})

        self.assertLessEqual(longest, executor.clock() + lab.HOLD_MAX_MS)
        self.assertEqual(executor.deadline, longest)

    async def test_an_end_from_before_a_lapse_is_not_noted(self):
        executor = self.executor()
        await self.start(executor, 1, length_ms=50, held_ms=300)
        await asyncio.sleep(0.5)

        await self.hold(executor, cursor=1)

        self.assertEqual(self.play.runs[TASK][0][2], "done")
        self.assertFalse(self.play.runs[TASK][0][6])

    async def test_an_end_in_the_lease_is_noted(self):
        executor = self.executor()
        await self.start(executor, 1, length_ms=50)
        await asyncio.sleep(0.2)

        await self.hold(executor, cursor=1)

        self.assertTrue(self.play.runs[TASK][0][6])

    async def test_late_calls_are_carried_out_and_not_answered(self):
        executor = self.executor(late=1.0)

        answer = await self.start(executor, 1, held_ms=9_000)
        at_once = len(executor.running)
        await asyncio.sleep(5.2)

        self.assertIsNone(answer)
        self.assertEqual(at_once, 0)
        self.assertEqual(self.play.runs[TASK][0][7], (1, True))

    async def test_late_calls_of_an_earlier_life_are_not_done(self):
        executor = self.executor(late=1.0)
        await self.start(executor, 1, held_ms=9_000)

        executor.crash()
        executor.restart()
        await asyncio.sleep(5.2)

        self.assertEqual(self.play.runs, {})

    async def test_lost_answers_are_of_calls_that_were_done(self):
        executor = self.executor(loss=1.0)

        answer = await self.start(executor, 1)

        self.assertIsNone(answer)
        self.assertEqual(len(executor.running), 1)

    async def test_an_executor_out_of_reach_goes_on(self):
        executor = self.executor()
        await self.start(executor, 1)

        executor.cut = True
        answer = await self.start(executor, 2)
        await asyncio.sleep(0.2)

        self.assertIsNone(answer)
        self.assertEqual(list(executor.running), [(TASK, 1)])

    async def test_entries_go_with_the_store_and_come_back(self):
        executor = self.executor()
        newest = self.play.store.topic("keyed.servers").newest

        self.play.store.mode = "silent"
        await asyncio.sleep(3 * lab.BEAT_S + 0.3)
        silent = "i-1" in newest
        self.play.store.mode = None
        await asyncio.sleep(2.4)

        self.assertFalse(silent)
        self.assertIn("i-1", newest)


class Channels(unittest.IsolatedAsyncioTestCase):
    async def ask(self, carries_over):
        """The status of a call that was open at a restart, or None."""
        async def handle(*_call):
            server.life += 1
            return lab.reply(200, {})

        server = standins.HttpServer(handle)
        server.carries_over = carries_over
        await server.open()
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 0.5)
        except asyncio.TimeoutError:
            line = None
        writer.close()
        await asyncio.sleep(0.05)
        server.server.close()
        return line and line.split()[1]

    async def test_a_call_open_at_a_restart_is_answered_only_where_it_carries_over(self):
        self.assertIsNone(await self.ask(False))
        self.assertEqual(await self.ask(True), b"200")


class Stores(unittest.IsolatedAsyncioTestCase):
    async def append(self, mode):
        with tempfile.TemporaryDirectory() as folder:
            record = standins.Record(f"{folder}/record.txt")
            store = standins.Store(record, random.Random(2))
            store.mode = mode
            answers = [await store.handle("POST", f"/log-append?topic=t&part=0&at={i}", {}, lab.frame("k", b"v"))
                       for i in range(20)]
            record.file.close()
            return [answer is DROP for answer in answers].count(True), len(store.topic("t").records)

    async def test_a_silent_store_does_nothing(self):
        self.assertEqual(await self.append("silent"), (20, 0))

    async def test_a_losing_store_does_all(self):
        lost, records = await self.append("losing")

        self.assertEqual(records, 20)
        self.assertTrue(0 < lost < 20)


class ShownEnds(unittest.TestCase):
    def setUp(self):
        self.watch = shown.Watch()
        self.ended = collections.defaultdict(dict)

    def show(self, state, process="edge-1", key="aa"):
        self.watch.note(process, self.ended[process], key, state)

    def late_starts(self, after_s, late=False):
        began = self.watch.first["aa"].at + after_s
        runs = {"aa.0.0.0": [[began, None, None, 2, "i-1", 0, False, (1, late)]]}
        return [task for task, _, _ in self.watch.late_starts(runs)]

    def states_back(self):
        return [(before.process, before.state, after.process, after.state) for _, before, after in self.watch.back]

    def test_a_start_over_a_second_after_a_complete_job_was_shown_is_a_case(self):
        self.show("running")
        self.show("complete")

        self.assertEqual(self.late_starts(1.1), ["aa.0.0.0"])
        self.assertEqual(self.late_starts(0.9), [])

    def test_a_start_that_the_executor_did_late_is_none(self):
        self.show("complete")

        self.assertEqual(self.late_starts(1.1, late=True), [])

    def test_a_start_after_a_failed_job_is_none(self):
        self.show("failed")

        self.assertEqual(self.late_starts(1.1), [])

    def test_the_first_time_at_any_process_counts(self):
        self.show("complete", "edge-2")
        first = self.watch.first["aa"]
        self.show("complete", "edge-1")

        self.assertIs(self.watch.first["aa"], first)

    def test_a_process_that_goes_back_is_a_case(self):
        for state in ("complete", None, "running", "running", "complete", "unknown"):
            self.show(state)

        self.assertEqual(self.states_back(), [
            ("edge-1", "complete", "edge-1", "running"), ("edge-1", "complete", "edge-1", "unknown")])

    def test_a_process_that_has_not_read_of_an_end_is_none(self):
        self.show("complete", "edge-1")
        self.show("running", "edge-2")

        self.assertEqual(self.states_back(), [])

    def test_two_ends_of_a_job_are_a_case(self):
        self.show("complete", "edge-1")
        self.show("failed", "edge-2")

        self.assertEqual(self.states_back(), [("edge-1", "complete", "edge-2", "failed")])


if __name__ == "__main__":
    unittest.main()
