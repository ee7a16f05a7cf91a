"""Stand-ins for the platform's store, executors and VM service, and callers, for the cases 12 to 15.

They follow PROTOCOL.md. All run in one process on loopback addresses; the program under review runs as
separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "amaranthwick-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_MS = 1.0
PART_TPUT = 20e6
HEARTBEAT_S = 1.5
ENTRY_LIFE_S = 4.5
HOLD_MAX_MS = 6000
STOP_MS = 100
VISIBLE_S = 3.0
FINISH_S = 14.0


class CannotRun(Exception):
    """The case could not be brought about."""


class Recorder:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(w) for w in words)
        self.file.write(line + "\n")
        self.file.flush()


def say(*words):
    print(*words, flush=True)


# HTTP/1.1


async def read_message(reader, is_reply=False):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0].split(" "), headers, body


def encode_reply(status, body, content_type="application/json"):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """Serves requests. A handler returns (status, body), or None to leave the request unanswered."""

    def __init__(self, handler):
        self.handler = handler

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                reply = await self.handler(first[0], first[1], headers, body)
                if reply is None:
                    # Nothing further is returned on this channel.
                    await asyncio.sleep(3600)
                writer.write(encode_reply(*reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(address, method, path, headers=None, body=None, timeout=4.0):
    """Sends one request over a new channel; None without an answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            every = {"Host": address, "Content-Length": str(len(data)), "Content-Type": "application/json"}
            every.update(headers or {})
            lines += [f"{name}: {value}" for name, value in every.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, reply_headers, reply = await read_message(reader)
            return int(first[1]), reply_headers, reply
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


# The store


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = {}
        self.appends = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def push(self, record):
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        self.records.append(record)
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


def keyed(key, value):
    return bytes([len(key)]) + key.encode() + value


class Store:
    """The platform's store: keyed topics of one partition, all records kept."""

    def __init__(self, record):
        self.topics = {}
        self.record = record
        self.down = False
        self.refused_large = 0
        self.largest_append = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as the operator or an executor does."""
        topic = self.topic(topic)
        topic.push(keyed(key, value if isinstance(value, bytes) else json.dumps(value).encode()))
        topic.notify()

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.003)
        if self.down:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/log-append":
            return await self.append(query, body)
        if url.path == "/log-read":
            return await self.read(query)
        if url.path == "/log-newest":
            return self.read_newest(query)
        return 404, {}

    async def append(self, query, body):
        records, at = [], 0
        while at < len(body):
            size = int.from_bytes(body[at : at + 4], "big")
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        self.largest_append = max(self.largest_append, len(body))
        largest = max((len(r) for r in records), default=0)
        total = sum(len(r) for r in records)
        if largest > RECORD_BYTES or total > CALL_BYTES:
            self.refused_large += 1
            if self.refused_large <= 5 or self.refused_large % 50 == 0:
                self.record(f"store: append of {len(records)} records, {total} bytes, largest {largest}: refused, over the limits of a call")
            return 400, {"reason": "size"}
        topic = self.topic(query["topic"])
        async with topic.lock:
            await asyncio.sleep(APPEND_MS / 1000 + len(body) / PART_TPUT)
            if self.down:
                return 503, {}
            if "at" in query and int(query["at"]) != len(topic.records):
                return 412, {"end": len(topic.records)}
            if "producer" in query:
                name, epoch, seq = query["producer"], int(query["epoch"]), int(query["seq"])
                known = topic.epoch.get(name, -1)
                if epoch < known:
                    return 409, {"reason": "fenced"}
                if epoch == known:
                    done = topic.appends[name]
                    for old, answer in done:
                        if old == seq:
                            return 200, answer
                    if done and seq != done[-1][0] + 1:
                        return 409, {"reason": "seq", "seq": done[-1][0] + 1}
                else:
                    topic.epoch[name] = epoch
                    topic.appends[name] = []
            offset = len(topic.records)
            for record in records:
                topic.push(record)
            answer = {"offset": offset, "end": len(topic.records)}
            if "producer" in query:
                topic.appends[query["producer"]] = topic.appends[query["producer"]][-4:] + [(seq, answer)]
            topic.notify()
            return 200, answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        if self.down:
            return 503, {}
        limit = int(query.get("max-kb", 1024)) * 1024
        out = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        parts = [out]
        for record in topic.records[start:]:
            if size and size + len(record) > limit:
                break
            size += len(record) + 4
            parts.append(len(record).to_bytes(4, "big") + record)
        return 200, b"".join(parts), "application/octet-stream"

    def read_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("depends-on")
        items, size, truncated = [], 0, False
        for key in sorted(topic.newest):
            if after is not None and key <= after:
                continue
            value, offset = topic.newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1 << 20):
                truncated = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "truncated": truncated, "end": len(topic.records)}


# Executors


class Run:
    def __init__(self, task, number, span, deadline_task=None):
        self.task, self.number, self.span = task, number, span
        self.begun = time.monotonic()
        self.lasts = span is None

    def percent(self):
        if self.lasts:
            return 100 if time.monotonic() - self.begun > 0.2 else 0
        return min(99, int(100 * (time.monotonic() - self.begun) / self.span))


class Executor:
    """One executor; start() begins a life of it. `span_of` tells how long a task works, in s; None: it lasts."""

    def __init__(self, lab, name, service, machine, cpu=16000, rack="r1"):
        self.lab, self.name, self.service, self.machine = lab, name, service, machine
        self.cpu, self.rack = cpu, rack
        self.port = None
        self.up = False
        self.gated = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.life = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.ended = []
        self.ends = 0
        self.highest_ended = {}
        self.needs = {}
        self.changed = asyncio.Event()
        self.seq = 0
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.up = True
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.work())]
        self.lab.record(f"executor {self.name} starts, born {self.born}, at {self.address}")

    async def crash(self):
        """Ends at once; its channels are reset."""
        self.up = False
        for run in list(self.runs.values()):
            self.lab.run_over(self, run, "crashed")
        self.runs.clear()
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.lab.record(f"executor {self.name} crashes")

    def clock(self):
        return int((time.monotonic() - self.life) * 1000) + 1000

    def entry(self):
        return {
            "service": self.service, "addr": self.address, "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold-left-ms": 0, "seq": self.seq, "machine": self.machine,
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0}, "labels": ["k", self.rack],
            "born": self.born,
        }

    async def heartbeat(self):
        while True:
            if not self.lab.store.down:
                self.seq += 1
                self.lab.store.put("keyed.servers", self.name, self.entry())
                self.lab.heard[self.name] = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, run, how):
        self.runs.pop(run.task, None)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ""])
        self.highest_ended[run.task] = max(run.number, self.highest_ended.get(run.task, 0))
        self.lab.run_over(self, run, how)
        self.notify()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.runs and self.clock() > self.deadline:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if not run.lasts and now - run.begun >= run.span:
                    self.end(run, "done")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                reply = await self.handle(first[1], headers, json.loads(body or b"{}"))
                if reply is None:
                    await asyncio.sleep(3600)
                writer.write(encode_reply(*reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, path, headers, body):
        life = self.born
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.name:
            return 421, {}
        if body.get("fence-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fence-token", 0)
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            task, number = body["task"], body["run-id"]
            run = self.runs.get(task)
            if run and run.number <= number:
                asyncio.get_running_loop().call_later(STOP_MS / 1000, self.stopped, run, life)
            self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
            return 200, {"clock-ms": self.clock()}
        if path == "/hold":
            return await self.hold(body)
        return 404, {}

    def stopped(self, run, life):
        if self.born == life and self.runs.get(run.task) is run:
            self.end(run, "stopped")

    def run_start(self, body):
        task, number = body["task"], body["run-id"]
        if body["deadline-ms"] <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        self.extend(body["deadline-ms"])
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {"clock-ms": self.clock()}
        if run or number <= self.highest_ended.get(task, 0):
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        need = self.lab.cpu_of(body)
        used = sum(self.needs[t] for t in self.runs)
        if used + need > self.cpu:
            return 409, {"clock-ms": self.clock(), "reason": "room"}
        self.needs[task] = need
        run = Run(task, number, self.lab.span_of(body))
        self.runs[task] = run
        self.lab.run_begun(self, run, body)
        return 200, {"clock-ms": self.clock()}

    async def hold(self, body):
        if body.get("deadline-ms"):
            self.extend(body["deadline-ms"])
        cursor = body.get("ack-cursor", 0)
        if cursor:
            self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        rows = [[r.task, r.number, "", r.percent(), self.needs[r.task]] for r in self.runs.values()]
        return 200, {
            "clock-ms": self.clock(), "born": self.born, "running": rows, "finished": self.ended[:500],
        }


# The whole system


class Lab:
    def __init__(self, folder):
        self.folder = folder
        self.record = Recorder(folder)
        self.store = Store(self.record)
        self.executors = []
        self.processes = {}
        self.heard = {}
        self.open_runs = {}
        self.history = []
        self.spans = {}
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.cpus = {}
        self.quiet = False

    # Called by executors.

    def span_of(self, body):
        return json.loads(body["spec"]).get("span")

    def cpu_of(self, body):
        return json.loads(body["spec"]).get("cpu", 1000)

    def run_begun(self, executor, run, body):
        self.open_runs.setdefault(run.task, []).append((executor.name, run.number))
        self.history.append((self.record.now(), "begin", run.task, run.number, executor.name, body.get("fence-token")))
        if not self.quiet:
            self.record(f"run {run.task} {run.number} begins on {executor.name}, fence {body.get('fence-token')}")

    def run_over(self, executor, run, how):
        self.open_runs[run.task].remove((executor.name, run.number))
        self.history.append((self.record.now(), how, run.task, run.number, executor.name, None))
        if not self.quiet:
            self.record(f"run {run.task} {run.number} ends on {executor.name}: {how}")

    def parallel_runs(self):
        """Pairs of runs of one task that went on at the same time, and for how long, in s."""
        spans = {}
        for at, what, task, number, name, _ in self.history:
            key = (task, number, name)
            if what == "begin":
                spans[key] = [at, None]
            elif key in spans:
                spans[key][1] = at
        by_task = {}
        for (task, number, name), (begin, end) in spans.items():
            by_task.setdefault(task, []).append((begin, end or self.record.now(), number, name))
        pairs = []
        for task, runs in by_task.items():
            runs.sort()
            for i, one in enumerate(runs):
                for other in runs[i + 1 :]:
                    overlap = min(one[1], other[1]) - other[0]
                    if overlap > 0.0:
                        pairs.append((task, one, other, overlap))
        return pairs

    # Set-up.

    async def begin(self, config, executors):
        self.store_server = await Server(self.store.handle).start()
        self.vm_server = await Server(self.handle_vms).start()
        self.store.put("keyed.op", "config", config)
        self.executors = executors
        for executor in executors:
            await executor.start()
        self.reaper = asyncio.create_task(self.expire_entries())

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.05)
            if self.store.down:
                continue
            for name, at in list(self.heard.items()):
                if time.monotonic() - at > ENTRY_LIFE_S:
                    del self.heard[name]
                    self.store.put("keyed.servers", name, b"")
                    self.record(f"entry of {name} expires")

    async def handle_vms(self, method, target, headers, body):
        if method == "GET":
            machines = [
                {
                    "machine": e.machine, "pool": e.service, "state": "up" if e.up else "down", "zone": "a",
                    "labels": ["k", e.rack], "capacity": {"cpu": e.cpu, "mem-mb": 65536, "gpu": 0}, "id": e.name,
                }
                for e in self.executors
            ]
            return 200, {"machines": machines, "next-token": None}
        return 409, {"reason": "busy"}

    def spawn(self, name):
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        lines = {
            "node-name": name, "role": "edge", "machine-class": "edge", "serves": "edge", "ip": ip, "zone": "a",
            "region": "r", "listen.front": f"{ip}:8340", "listen.ready": f"{ip}:8343",
            "listen.control": f"{ip}:8345", "port-range": "7000,7015", "bootstrap": "true",
            "limits.cpu-share": "1", "limits.cores": "1", "limits.memory-mb": "260", "limits.max-fds": "4100",
            "heartbeat-ms": "1500", "bounds.contact-ms": "3000", "bounds.drain-ms": "2000", "bounds.grace-s": "6",
            "bounds.config-apply-ms": "2000", "bounds.hold-max-ms": str(HOLD_MAX_MS), "bounds.stop-ms": "400",
            "bounds.cancel_ms": "3000", "bounds.visible_ms": "3000", "bounds.finish_s": "14",
            "bounds.status_s": "120", "bounds.lease-ms": "3000", "bounds.fencing-enabled": "true", "orders": "rpc",
            "platform.addr": self.store_server.address, "platform.form": "log", "platform.parts": "24",
            "platform.record-bytes": str(RECORD_BYTES), "platform.call-bytes": str(CALL_BYTES),
            "cloud-api.addr": self.vm_server.address, "cloud-api.rate-s": "64", "cloud-api.duty-rate-s": "64",
        }
        path = os.path.join(self.temp, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write("".join(f"{key}={value}\n" for key, value in lines.items()))
        log = open(os.path.join(self.temp, f"{name}.log"), "wb")
        env = {"AMARANTHWICK_BOOT": path, "PATH": os.environ.get("PATH", "")}
        child = subprocess.Popen([PROGRAM], env=env, cwd=ROOT, stdout=log, stderr=log)
        self.processes[name] = (child, f"{ip}:8340", f"{ip}:7000", f"{ip}:8343")
        self.record(f"process {name} starts")

    async def ready(self, names, limit=15.0):
        until = time.monotonic() + limit
        for name in names:
            while True:
                answer = await call(self.processes[name][3], "GET", "/readyz", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    def log_lines(self, name):
        with open(os.path.join(self.temp, f"{name}.log"), "rb") as file:
            return file.read().decode("utf-8", "replace").splitlines()

    def leader(self):
        """Name of the process that took the role last, by the logs."""
        latest = None
        for name in self.processes:
            for line in self.log_lines(name):
                if "event=role_taken" in line:
                    epoch = int(line.split("epoch=")[1].split()[0])
                    if latest is None or epoch > latest[0]:
                        latest = (epoch, name)
        return latest[1] if latest else None

    async def wait_for_leader(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.leader():
                return self.leader()
            await asyncio.sleep(0.1)
        raise CannotRun("no process leads")

    # Callers.

    async def request(self, name, method, job, body=None, deadline_ms=3000):
        headers = {"Host": "farm.example", "Api-Key": "k1", "Deadline-Ms": str(deadline_ms)}
        answer = await call(self.processes[name][1], method, f"/count/{job}", headers, body, deadline_ms / 1000)
        status = answer[0] if answer else None
        text = answer[2].decode("utf-8", "replace")[:80] if answer else ""
        if not self.quiet or method != "GET":
            self.record(f"{method} {job} at {name}: {status} {text}")
        return status, text

    async def submit(self, job, body, names=None):
        """Hands a job in until it is accepted or refused; tries other processes without an answer."""
        names = list(names or self.processes)
        for attempt in range(20):
            status, _ = await self.request(names[attempt % len(names)], "POST", job, body)
            if status == 200:
                return True
            if status is not None and status not in (429, 502, 503, 504):
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, names=None):
        for name in names or self.processes:
            status, text = await self.request(name, "GET", job)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "410"
        return None

    async def close(self):
        for name, (child, *_) in self.processes.items():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child, *_ in self.processes.values():
            child.wait()
        self.record("all processes have ended")
        if os.environ.get("KEEP_LOGS"):
            say("logs in", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def config(attempts=2, slo_ms=600, cap=0):
    return {
        "version": 3,
        "routes": [
            {
                "name": "r", "host": "farm.example", "prefix": "/count/", "service": "s", "priority": 0,
                "attempts": attempts, "slo-ms": slo_ms, "slack-factor": 1.6, "public": False,
                "timeout-ms": 3000, "kind": "mutating",
            }
        ],
        "services": [{"name": "s", "admission-check": True, "standby": False}],
        "limits": {"max-body-bytes": 262144},
        "tenants": [{"name": "t1", "api-keys": ["k1"], "weight": 1, "cap": {"cpu": cap, "mem-mb": 0, "gpu": 0}}],
    }


def run_case(folder, case):
    """Runs `case(lab)`, which returns a list of breaks of the rule; exits with 1, 0 or 2."""

    async def main():
        lab = Lab(os.environ.get("RECORD_DIR", folder))
        try:
            async with asyncio.timeout(115):
                breaks = await case(lab)
            for line in breaks[:20]:
                lab.record("BROKEN:", line)
                say("BROKEN:", line)
            lab.record("result:", "broken" if breaks else "held")
            say("result:", "broken" if breaks else "held", "TROUBLE=%d" % TROUBLE)
            return 1 if breaks else 0
        except (CannotRun, TimeoutError, OSError) as error:
            lab.record(f"could not run: {error!r}")
            say(f"could not run: {error!r}")
            return 2
        finally:
            await lab.close()

    sys.exit(asyncio.run(main()))
