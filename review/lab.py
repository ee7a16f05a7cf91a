"""Stand-ins and a runner for the cases of this review.

Everything listens on loopback addresses. The stand-ins follow the protocol page: the store is a
log with keyed topics, an executor guards its capacity, keeps leases on its own clock, lists ends
until they are acknowledged, and refuses lower fencing tokens and old runs.
"""

import asyncio
import base64
import collections
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPO, "target", "release", "amaranthwick-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
HOLD_MAX_MS = 6_000
STOP_MS = 400
BEAT_S = 1.5
RECORD_LINES = 6_000

HOST = "farm.example"
KEY = "k-one"

DROP = object()  # The handler's result for a request that gets no answer on a silent channel.

_started = time.monotonic()


def now():
    """Seconds since the case began."""
    return time.monotonic() - _started


class Record:
    """Lines of record.txt; the middle of a long series of one kind is left out."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.counts = collections.Counter()
        self.lock = threading.Lock()

    def line(self, kind, text):
        with self.lock:
            self.counts[kind] += 1
            if self.counts[kind] == 400:
                text += " (further lines of this kind are only counted)"
            if self.counts[kind] <= 400:
                self.file.write(f"{now():8.3f} {kind} {text}\n")
                self.file.flush()

    def close(self):
        for kind, count in sorted(self.counts.items()):
            self.file.write(f"total {kind} {count}\n")
        self.file.close()


class HttpServer:
    """A small HTTP/1.1 server with persistent connections; `handler` is a coroutine."""

    def __init__(self, handler, address=("127.0.0.1", 0)):
        self.handler = handler
        self.address = address
        self.writers = set()
        # Raised when the machine restarts: connections of before are reset when they are used.
        self.life = 1

    async def open(self):
        self.server = await asyncio.start_server(self._serve, *self.address, backlog=4096)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def text(self):
        return f"{self.address[0]}:{self.address[1]}"

    async def _serve(self, reader, writer):
        life = self.life
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if life != self.life:
                    writer.transport.abort()
                    return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(method, target, headers, body)
                if answer is DROP or life != self.life:
                    # Nothing is answered any more; the channel stays open and silent.
                    await reader.read(1)
                    writer.transport.abort()
                    return
                status, payload, kind = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reply(status, value):
    return status, json.dumps(value).encode(), "application/json"


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def push(self, record):
        length = record[0]
        key = record[1 : 1 + length].decode()
        value = record[1 + length :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(record)


def frame(key, value):
    record = bytes([len(key)]) + key.encode() + value
    return len(record).to_bytes(4, "big") + record


class Store:
    """The platform's store. `late_share` of the writes of the system are carried out late and
    get no answer, while `late` is set."""

    def __init__(self, record, seed=1):
        self.record = record
        self.topics = {}
        self.late = None  # (share, least delay, longest delay) in s, or None
        self.random = random.Random(seed)
        self.refused_too_large = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as the operator or an executor does."""
        self._push(self.topic(topic), frame(key, value.encode() if isinstance(value, str) else value))

    def _push(self, topic, body):
        first = len(topic.records)
        while body:
            length = int.from_bytes(body[:4], "big")
            topic.push(body[4 : 4 + length])
            body = body[4 + length :]
        topic.changed.set()
        topic.changed = asyncio.Event()
        return first, len(topic.records)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.003)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-append":
            return await self.append(query, body)
        if parts.path == "/log-read":
            return await self.read(query)
        if parts.path == "/log-newest":
            return self.newest(query)
        return reply(404, {})

    async def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return reply(403, {})
        if self.late and self.random.random() < self.late[0]:
            delay = self.random.uniform(self.late[1], self.late[2])
            self.record.line("store", f"a write is carried out after {delay:.1f} s, without an answer")
            asyncio.get_running_loop().call_later(delay, self.carry_out, query, body)
            return DROP
        return self.carry_out(query, body)

    def carry_out(self, query, body):
        rest, longest = body, 0
        while rest:
            length = int.from_bytes(rest[:4], "big")
            longest = max(longest, length)
            rest = rest[4 + length :]
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_too_large += 1
            self.record.line("store", f"413: longest record {longest}, call {len(body)} bytes")
            return reply(413, {"reason": "size", "record-bytes": RECORD_BYTES})
        topic = self.topic(query["topic"])
        end = len(topic.records)
        name = query.get("producer")
        if name is not None:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            known = topic.producers.get(name)
            if known and epoch < known[0]:
                return reply(409, {"reason": "fenced"})
            if known and epoch == known[0]:
                if seq in known[2]:
                    return reply(200, known[2][seq])
                if seq != known[1] + 1:
                    return reply(409, {"reason": "seq", "seq": known[1] + 1})
        if "at" in query and int(query["at"]) != end:
            return reply(412, {"end": end})
        first, end = self._push(topic, body)
        answer = {"offset": first, "end": end}
        if name is not None:
            last = known[2] if known and known[0] == epoch else collections.OrderedDict()
            last[seq] = answer
            while len(last) > 5:
                last.popitem(last=False)
            topic.producers[name] = (epoch, seq, last)
        return reply(200, answer)

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        limit = int(query.get("max-kb", "1024")) * 1024
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while len(topic.records) <= start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        parts = [len(topic.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for record in topic.records[start:]:
            if size and size + len(record) + 4 > limit:
                break
            size += len(record) + 4
            parts.append(len(record).to_bytes(4, "big") + record)
        return 200, b"".join(parts), "application/octet-stream"

    def newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("depends-on", "")
        items, size, truncated = [], 0, False
        for key in sorted(topic.newest):
            if after and key <= after:
                continue
            value, offset = topic.newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1_000_000):
                truncated = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return reply(200, {"items": items, "truncated": truncated, "end": len(topic.records)})


class Run:
    def __init__(self, task, run, spec, cpu, mem):
        self.task, self.run, self.spec = task, run, spec
        self.cpu, self.mem = cpu, mem
        self.began = time.monotonic()
        self.stopping = False

    def percent(self, at):
        """Progress, or for a task that lasts whether it is at work, which it is after 0.5 s."""
        if "lasts" in self.spec:
            return 100 if at - self.began >= 0.5 else 0
        return min(100, int((at - self.began) * 100_000 / self.spec.get("ms", 400)))


class Executor:
    """An executor. A job's spec tells its tasks' run time and what they need, as the platform would
    know it: `ms=400 cpu=1000 mem=100`, `lasts=1` for tasks that last, and `fail=N` for tasks whose
    first N runs fail."""

    def __init__(self, lab, eid, service, zone="z1", rack="r1-1", cpu=64_000, mem=131_072, machine=None):
        self.lab, self.eid, self.service = lab, eid, service
        self.zone, self.rack, self.cpu, self.mem = zone, rack, cpu, mem
        self.machine = machine or "m-" + eid[:8]
        self.life = 0
        self.cut = False
        self.down = False
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.token = 0
        self.deadline = 0.0
        self.lapsed_at = 0.0  # When the lease was last seen to have lapsed.
        self.running = {}
        self.used_cpu = self.used_mem = 0
        self.ended = []
        self.position = 0
        self.stopped = {}
        self.changed = asyncio.Event()
        self.beats = 0

    async def open(self):
        self.server = await HttpServer(self.handle).open()
        asyncio.get_running_loop().create_task(self.live())
        self.list()
        return self

    def list(self, state="ready"):
        self.beats += 1
        self.last_beat, self.listed = time.monotonic(), True
        entry = {
            "service": self.service, "addr": self.server.text, "zone": self.zone, "version": "1",
            "slots": 8, "state": state, "cold-left-ms": 0, "seq": self.beats, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0},
            "labels": ["a", self.rack], "machine": self.machine,
        }
        self.lab.store.put("keyed.servers", self.eid, json.dumps(entry))

    async def live(self):
        beat = time.monotonic() + BEAT_S
        while True:
            await asyncio.sleep(0.005)
            if self.down:
                # The platform removes the entry after three heartbeat intervals of silence.
                if self.listed and time.monotonic() > self.last_beat + 3 * BEAT_S:
                    self.listed = False
                    self.lab.store.put("keyed.servers", self.eid, b"")
                    self.lab.record.line("platform", f"the entry of executor {self.eid} is removed")
                continue
            if self.clock() > self.deadline:
                self.lapsed_at = now()
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            if time.monotonic() >= beat:
                beat = time.monotonic() + BEAT_S
                self.list()

    def clock(self):
        return int((time.monotonic() - self.epoch) * 1000)

    def finish(self, run, life, how):
        """Ends a run, unless it has ended before."""
        if life == self.life and run.task in self.running and self.running[run.task] is run:
            self.end(run, how)

    def end(self, run, how):
        del self.running[run.task]
        self.used_cpu -= run.cpu
        self.used_mem -= run.mem
        self.position += 1
        self.ended.append([self.position, run.task, run.run, how, ""])
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.run)
        self.lab.run_ended(self, run, how, self.position)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        life = self.life
        if self.cut or self.down:
            return DROP
        call = json.loads(body)
        clock = {"clock-ms": self.clock()}
        if headers.get("expect-instance", self.eid) != self.eid:
            return reply(421, clock)
        if call.get("fence-token", 0) < self.token:
            return reply(409, {**clock, "reason": "fence"})
        self.token = call.get("fence-token", 0)
        if target == "/run-start":
            answer = self.start(call, clock)
        elif target == "/run-stop":
            answer = self.stop(call, clock)
        elif target == "/hold":
            answer = await self.hold(call, life)
        else:
            answer = reply(404, {})
        if self.cut or self.down or life != self.life:
            return DROP
        return answer

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    def start(self, call, clock):
        task, run = call["task"], call["run-id"]
        if call["deadline-ms"] <= self.clock():
            return reply(409, {**clock, "reason": "late"})
        self.extend(call["deadline-ms"])
        current = self.running.get(task)
        if current is not None and current.run == run:
            return reply(200, clock)
        if run <= max(self.stopped.get(task, 0), current.run if current else 0):
            return reply(409, {**clock, "reason": "old"})
        if current is not None:
            # Not told by the pages: one run of a task at a time.
            return reply(409, {**clock, "reason": "room"})
        spec = {}
        for word in call["spec"].split():
            name, _, value = word.partition("=")
            spec[name] = int(value)
        new = Run(task, run, spec, spec.get("cpu", 1000), spec.get("mem", 100))
        if self.used_cpu + new.cpu > self.cpu or self.used_mem + new.mem > self.mem:
            return reply(409, {**clock, "reason": "room"})
        self.running[task] = new
        self.used_cpu += new.cpu
        self.used_mem += new.mem
        self.lab.run_started(self, new)
        how = "failed" if run <= spec.get("fail", 0) else "done"
        if "lasts" not in spec:
            asyncio.get_running_loop().call_later(spec.get("ms", 400) / 1000, self.finish, new, self.life, how)
        return reply(200, clock)

    def stop(self, call, clock):
        task, number = call["task"], call["run-id"]
        self.stopped[task] = max(self.stopped.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run == number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS * 0.75 / 1000, self.finish, run, self.life, "stopped")
        return reply(200, clock)

    async def hold(self, call, life):
        cursor = call["ack-cursor"]
        while self.ended and self.ended[0][0] <= cursor:
            self.lab.end_acknowledged(self, self.ended.pop(0))
        if "deadline-ms" in call:
            self.extend(call["deadline-ms"])
        until = time.monotonic() + call.get("wait-ms", 0) / 1000
        while not self.ended and life == self.life and not (self.cut or self.down):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        at = time.monotonic()
        running = [
            [r.task, r.run, "", r.percent(at), r.cpu]
            for r in self.running.values()
        ]
        return reply(200, {
            "clock-ms": self.clock(), "born": self.born,
            "running": running, "finished": self.ended[:500],
        })

    def crash(self):
        """Everything that runs ends, and nothing is answered any more."""
        self.down = True
        self.changed.set()
        for run in list(self.running.values()):
            self.lab.run_ended(self, run, "crashed", 0)
        self.running = {}
        self.used_cpu = self.used_mem = 0
        self.lab.record.line("disruption", f"executor {self.eid} crashes")

    def restart(self):
        """Begins a new life under the same id. Channels of before are reset when they are used."""
        self.server.life += 1
        self.begin_life()
        self.down = False
        self.list()
        self.lab.record.line("disruption", f"executor {self.eid} is back, born {self.born}")


class Process:
    """A process of the system, started as the deploy file says."""

    def __init__(self, lab, name):
        self.lab, self.name = lab, name
        self.ip = free_ip()
        self.settings = os.path.join(lab.folder, f"{name}.conf")
        lines = {
            "node-name": name, "role": "edge", "machine-class": "edge", "serves": "edge",
            "ip": self.ip, "zone": "z1", "region": "r", "zones.z1": "r",
            "listen.front": f"{self.ip}:8340", "listen.ready": f"{self.ip}:8343",
            "listen.control": f"{self.ip}:8345", "port-range": "7000,7015",
            "seeds": f"{self.ip}:8345", "bootstrap": "true", "loss-counts": "false",
            "limits.cpu-share": "0.25", "limits.cores": "1", "limits.memory-mb": "260",
            "limits.max-fds": "4100", "limits.link-mbps": "1000.0", "limits.disk-mb": "0",
            "discovery": "platform", "entry": "vip", "heartbeat-ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,tenants,quota,platform",
            "fault-tolerance.machines": "2", "fault-tolerance.zones": "1",
            "bounds.contact-ms": "3000", "bounds.ack-ms": "4000", "bounds.drain-ms": "2000",
            "bounds.grace-s": "6", "bounds.config-apply-ms": "2000", "bounds.quota-overage": "0.1",
            "bounds.recovery-s": "12", "bounds.hold-max-ms": str(HOLD_MAX_MS),
            "bounds.stop-ms": str(STOP_MS), "bounds.gang-timeout-ms": "3000",
            "bounds.cancel_ms": "3000", "bounds.visible_ms": "3000", "bounds.early_ms": "250",
            "bounds.finish_s": "14", "bounds.status_s": "120", "bounds.remote-factor": "1.5",
            "bounds.fencing-enabled": "true", "bounds.lease-ms": "3000", "orders": "rpc",
            "platform.addr": lab.store_server.text, "platform.form": "log",
            "platform.writes-per-s": "600", "platform.reads-per-s": "2000", "platform.parts": "24",
            "platform.record-bytes": str(RECORD_BYTES), "platform.call-bytes": str(CALL_BYTES),
            "platform.keep_s": "300", "platform.part-mb": "200", "platform.ttl-min-ms": "1000",
            "cloud-api.addr": lab.vm_server.text, "cloud-api.rate-s": "64.0",
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())
        self.log = open(os.path.join(lab.folder, f"{name}.log"), "w", encoding="utf-8")
        self.child = subprocess.Popen(
            [PROGRAM], cwd=REPO, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "AMARANTHWICK_BOOT": self.settings},
        )

    def call(self, method, path, body=None, timeout_ms=3000):
        """Sends a request as a requester does; returns the status and the answer, or None."""
        payload = json.dumps(body).encode() if body is not None else None
        connection = http.client.HTTPConnection(self.ip, 8340, timeout=timeout_ms / 1000)
        try:
            headers = {"Host": HOST, "Api-Key": KEY, "Deadline-Ms": str(timeout_ms)}
            if payload is not None:
                headers["Content-Type"] = "application/json"
            connection.request(method, path, payload, headers)
            answer = connection.getresponse()
            text = answer.read()
            try:
                return answer.status, json.loads(text)
            except ValueError:
                return answer.status, {}
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def ready(self):
        connection = http.client.HTTPConnection(self.ip, 8343, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def leads(self):
        connection = http.client.HTTPConnection(self.ip, 7000, timeout=1)
        try:
            connection.request("GET", "/state")
            return b"busy_targets=" in connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def end(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.log.close()


def free_ip():
    """A loopback address at which the ports of the settings are free."""
    for _ in range(200):
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        sockets = []
        try:
            for port in (8340, 8343, 8345, 7000, 7001):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
            return ip
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free loopback address")


class CannotRun(Exception):
    """The case could not run; says nothing of the rule."""


def queue(name, service, prefix, attempts=4, priority=0):
    return {
        "name": name, "host": HOST, "prefix": prefix, "service": service, "priority": priority,
        "attempts": attempts, "slo-ms": 2500, "slack-factor": 1.6, "public": False,
    }


class Lab:
    """The stand-ins, the processes, and what the executors have seen."""

    def __init__(self, folder, seed=1):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.TemporaryDirectory()
        self.folder = self.temp.name
        self.executors, self.processes = [], []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        # Runs as the executors saw them: by task, lists of [began, ended, how, run, executor, N, acked].
        self.runs = collections.defaultdict(list)
        self.by_end = {}
        self.lock = threading.Lock()
        self.store = Store(self.record, seed)
        self.store_server = self.run(HttpServer(self.store.handle).open())
        self.vm_server = self.run(HttpServer(self.list_vms).open())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def do(self, action, *args):
        """Calls a function in the thread of the stand-ins."""

        async def call():
            return action(*args)

        return self.run(call())

    async def list_vms(self, method, target, headers, body):
        machines = [
            {"machine": e.machine, "pool": e.service, "state": "down" if e.down else "up", "zone": e.zone,
             "labels": ["a", e.rack], "capacity": {"cpu": e.cpu, "mem-mb": e.mem, "gpu": 0}, "id": e.eid}
            for e in self.executors
        ]
        return reply(200, {"machines": machines, "next-token": ""})

    def configure(self, version, queues, services, cap=None):
        config = {
            "version": version, "routes": queues,
            "services": [{"name": name, "admission-check": True} for name in services],
            "limits": {"max-body-bytes": 262_144},
            "tenants": [{"name": "t-one", "api-keys": [KEY], "weight": 1, "cap": cap or {}}],
        }
        self.do(self.store.put, "keyed.op", "config", json.dumps(config))
        self.record.line("operator", f"configuration {version}: queues "
                         + ", ".join(f"{q['name']}->{q['service']} attempts={q['attempts']}" for q in queues))

    def add_executor(self, *args, **options):
        async def add():
            return await Executor(self, *args, **options).open()

        executor = self.run(add())
        self.executors.append(executor)
        return executor

    def start(self, count):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.processes = [Process(self, f"edge-{i + 1}") for i in range(count)]
        self.wait("a leader and ready processes", 20, lambda: (
            any(p.leads() for p in self.processes) and all(p.ready() for p in self.processes)
        ))
        time.sleep(1.0)

    def wait(self, what, limit_s, condition):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"waited {limit_s} s for {what}")
            time.sleep(0.05)

    def submit(self, process, path, job, tries=5):
        for _ in range(tries):
            answer = process.call("POST", path, job)
            self.record.line("requester", f"POST {path} at {process.name}: {answer and answer[0]}")
            if answer and answer[0] == 200:
                return True
            time.sleep(0.3)
        return False

    def run_started(self, executor, run):
        entry = [now(), None, None, run.run, executor.eid, 0, False]
        with self.lock:
            self.runs[run.task].append(entry)
            run.entry = entry
        self.record.line("start", f"{run.task} run {run.run} on {executor.eid[:8]}")

    def run_ended(self, executor, run, how, position):
        with self.lock:
            run.entry[1], run.entry[2], run.entry[5] = now(), how, position
            if position:
                self.by_end[(executor.eid, executor.life, position)] = run.entry
        self.record.line("end", f"{run.task} run {run.run} on {executor.eid[:8]}: {how}, number {position}")

    def end_acknowledged(self, executor, ended):
        with self.lock:
            entry = self.by_end.get((executor.eid, executor.life, ended[0]))
            if entry is not None and executor.lapsed_at < entry[1]:
                entry[6] = True

    def started(self, prefix):
        """Tasks whose names begin so and that an executor has started."""
        with self.lock:
            return [task for task in self.runs if task.startswith(prefix)]

    def twice(self):
        """Breaks of TWICE without its time bounds: two runs of a task at the same time, or a start
        after a run has ended done whose end was taken note of."""
        parallel, again = [], []
        with self.lock:
            for task, runs in self.runs.items():
                for i, first in enumerate(runs):
                    for second in runs[i + 1 :]:
                        if first[1] is None or first[1] > second[0]:
                            until = min(x for x in (first[1], second[1], now()) if x is not None)
                            parallel.append((task, first, second, until - second[0]))
                        elif first[2] == "done" and first[6]:
                            again.append((task, first, second))
        return parallel, again

    def close(self):
        for process in self.processes:
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            os.makedirs(keep, exist_ok=True)
            for process in self.processes:
                shutil.copy(os.path.join(self.folder, f"{process.name}.log"), keep)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.temp.cleanup()
        self.record.close()


def main(case, folder, seed=1):
    """Runs a case, which returns whether the rule held; ends the program with the exit code."""
    lab = None
    code = 2
    try:
        lab = Lab(folder, seed)
        lab.record.line("case", f"TROUBLE={'1' if TROUBLE else '0'}")
        code = 0 if case(lab) else 1
    except CannotRun as error:
        print(f"can't run: {error}")
        if lab:
            lab.record.line("case", f"can't run: {error}")
    finally:
        if lab:
            lab.record.line("case", f"exit code {code}")
            lab.close()
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
