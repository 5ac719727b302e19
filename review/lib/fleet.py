"""Stand-ins of the platform for the review's scripts: the metadata store, backend servers and callers, and
node processes that are started with the command and the settings template of the deploy file. All sockets
are on loopback; everything runs on one asyncio loop."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "shop.example"
KEY = "key-of-guild"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
USED_PORTS = set()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def __call__(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started:8.3f} {event} {text}\n")
        self.file.flush()


def free_port():
    """A port below those that the system gives to outgoing connections, and not handed out before."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


async def read_message(reader):
    """Reads one HTTP message with a length or chunks. Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def http_message(first, headers, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return text.encode("latin-1") + b"\r\n" + body


class Store:
    """The keyed topics of the platform's store: appends, reads with a wait, and the newest value of each key."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + value
        self._append(topic, record)

    def _append(self, topic, record):
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                target = first.split(" ")[1]
                path, _, query = target.partition("?")
                parameters = dict(pair.partition("=")[::2] for pair in query.split("&"))
                answer = await self._answer(path, parameters, body)
                writer.write(http_message("HTTP/1.1 200 OK", {"Content-Length": len(answer)}, answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, parameters, body):
        topic = parameters["topic"]
        records = self.topics.setdefault(topic, [])
        if path == "/-/log-append":
            offset, at = len(records), 0
            while at < len(body):
                length = struct.unpack(">I", body[at : at + 4])[0]
                self._append(topic, body[at + 4 : at + 4 + length])
                at += 4 + length
            return json.dumps({"offset": offset, "end": len(records)}).encode()
        if path == "/-/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
                newest[key] = (value, offset)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(newest.items())
                if value
            ]
            return json.dumps({"items": items, "has_more": False, "end": len(records)}).encode()
        start = int(parameters["from"])
        deadline = time.monotonic() + int(parameters.get("wait_ms", 0)) / 1000
        while len(records) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        parts = [struct.pack(">QQ", len(records), 0)]
        for record in records[start:]:
            parts.append(struct.pack(">I", len(record)) + record)
        return b"".join(parts)


class Run:
    """A request as a backend server received it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = headers.get("request-id", "")


class Backend:
    """A backend server: slots, a queue, heartbeats, receipts. `work` is awaited with the run for the time of
    the work and returns (status, body)."""

    def __init__(self, record, name, service, slots=5, work=None):
        self.record, self.name, self.service, self.slots = record, name, service, slots
        self.work = work or self.short_work
        self.id = "i-" + name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.free = asyncio.Semaphore(slots)
        self.port = 0
        self.control_port = 0
        self.state = "ready"
        self.idle_seconds = 10

    async def short_work(self, run):
        await asyncio.sleep(0.02)
        return 200, b"done " + run.id.encode()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def answer_headers(self, run):
        return {"Request-Id": run.id, "Server-Stamp": f"{self.id}.{len(self.runs)}.{run.id}"}

    def note_run(self, run):
        self.runs.append(run)
        self.record("run", backend=self.name, id=run.id, target=run.target, bytes=len(run.body))

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await asyncio.wait_for(read_message(reader), self.idle_seconds)
                method, target, _ = first.split(" ")
                run = Run(method, target, headers, body)
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(http_message("HTTP/1.1 421 Misdirected Request",
                        {"Request-Id": run.id, "Instance-Id": self.id, "Not-Executed": "1", "Content-Length": 0}))
                    await writer.drain()
                    continue
                if target == "/health":
                    writer.write(http_message("HTTP/1.1 200 OK", {"Instance-Id": self.id, "Content-Length": 0}))
                    await writer.drain()
                    continue
                async with self.free:
                    self.note_run(run)
                    status, answer = await self.work(run)
                fields = self.answer_headers(run)
                await self.respond(writer, status, fields, answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    async def respond(self, writer, status, fields, answer):
        fields["Content-Length"] = len(answer)
        writer.write(http_message(f"HTTP/1.1 {status} OK", fields, answer))
        await writer.drain()

    async def heartbeats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
            "version": "v1", "slots": self.slots, "state": self.state, "warmup_left_s": 0,
            "seq": self.sequence, "born": self.born}).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
            writer.write(http_message(f"POST /-/rpc?call=instances.heartbeat&of={self.id} HTTP/1.1",
                {"Host": "control", "Content-Type": "application/json", "Content-Length": len(body)}, body))
            await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass


class Node:
    """One node process and the backend server beside it."""

    def __init__(self, name, backend, zone="z1"):
        self.name, self.backend, self.zone = name, backend, zone
        self.process = None
        self.ports = {name: free_port() for name in ("outbound", "inbound", "control", "readiness", "metrics")}

    def write_settings(self, folder, store_port):
        template = open(os.path.join(ROOT, DEPLOY["roles"]["node"]["template"])).read()
        address = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        values = {"node_id": self.name, "zone": self.zone, "service": self.backend.service,
            "listen_addrs.outbound": address["outbound"], "listen_addrs.inbound": address["inbound"],
            "listen_addrs.control": address["control"], "listen_addrs.readiness": address["readiness"],
            "ip": "127.0.0.1", "internal_port_range.1": self.ports["metrics"],
            "app_addr": f"127.0.0.1:{self.backend.port}", "provider.address": f"127.0.0.1:{store_port}",
            "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 56, "bounds.budget_window_s": 10,
            "bounds.grace_s": 6, "seeds": [], "bootstrap": True, "limits.cores": 1, "limits.max_fds": 4100}

        def fill(match):
            name, _, form = match.group(1).partition("|")
            return json.dumps(values[name]) if form == "json" else str(values[name])

        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", fill, template))

    def start(self, folder):
        command = DEPLOY["roles"]["node"]["run"].split()
        self.log = open(os.path.join(folder, self.name + ".log"), "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POMELOHUB_BOOT"] = self.settings
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def has_ended(self):
        return self.process.poll() is not None


DEPLOY = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete = False
        self.seconds = 0.0


class Fleet:
    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.backends, self.nodes = [], []
        self.directory = tempfile.TemporaryDirectory()
        self.tasks = []
        self.last_id = 0

    def add(self, name, service, **options):
        backend = options.pop("backend", None) or Backend(self.record, name, service, **options)
        self.backends.append(backend)
        self.nodes.append(Node("node-" + name, backend))
        return backend, self.nodes[-1]

    async def start(self, routes, tenants=None):
        await self.store.start()
        services = sorted({each.service for each in self.backends})
        self.store.put("keyed.op", "config", json.dumps({"version": "r1",
            "services": [{"name": name, "health_check_path": "/health", "max_connections": 330}
                for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 5,
                "idle_timeout_s": 20},
            "virtual_hosts": [{"host": HOST, "paths": routes}],
            "tenants": tenants or [{"name": "guild", "api_keys": [KEY]}]}).encode())
        for backend, node in zip(self.backends, self.nodes):
            await backend.start()
            backend.control_port = node.ports["control"]
            node.write_settings(self.directory.name, self.store.port)
            node.start(self.directory.name)
            self.tasks.append(asyncio.create_task(backend.heartbeats()))
        await self.wait_until_ready()

    async def wait_until_ready(self):
        deadline = time.monotonic() + 20
        for node in self.nodes:
            while not await self.knows_all(node):
                if time.monotonic() > deadline:
                    raise RuntimeError("the fleet did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    async def knows_all(self, node):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["readiness"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            first, _, _ = await read_message(reader)
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["metrics"])
            writer.write(b"GET / HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")
            _, _, text = await read_message(reader)
            writer.close()
            known = re.search(rb"known_nodes\S* (\d+)", text)
            return " 200 " in first and known and int(known.group(1)) == len(self.nodes)
        except (OSError, asyncio.IncompleteReadError):
            return False

    def next_id(self):
        self.last_id += 1
        return f"q{self.last_id:05d}"

    def request(self, identifier, method, path, body=b"", limit_ms=10000):
        fields = {"Host": HOST, "Request-Id": identifier, "Deadline-Ms": limit_ms,
            "Authorization": "Bearer " + KEY}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        return http_message(f"{method} {path} HTTP/1.1", fields, body)

    async def send(self, node, method, path, body=b"", limit_ms=10000, identifier=None, connection=None):
        """Sends one request on a new connection, or on `connection`, and reads its answer."""
        identifier = identifier or self.next_id()
        answer = Answer()
        answer.id = identifier
        started = time.monotonic()
        self.record("sent", node=node.name, id=identifier, path=path, bytes=len(body))
        writer = None
        try:
            reader, writer = connection or await asyncio.open_connection(
                "127.0.0.1", node.ports["outbound"], limit=64 << 20)
            writer.write(self.request(identifier, method, path, body, limit_ms))
            first, answer.headers, answer.body = await asyncio.wait_for(
                read_message(reader), limit_ms / 1000 + 1)
            answer.status = int(first.split(" ")[1])
            answer.is_complete = True
        except asyncio.TimeoutError:
            self.record("no_answer", id=identifier)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record("connection_ended", id=identifier, error=type(error).__name__)
        finally:
            if writer and not connection:
                writer.close()
        answer.seconds = time.monotonic() - started
        if answer.is_complete:
            self.record("answered", id=identifier, status=answer.status, bytes=len(answer.body),
                seconds=f"{answer.seconds:.3f}")
        return answer

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for node in self.nodes:
                with open(os.path.join(self.directory.name, node.name + ".log")) as log:
                    open(os.path.join(keep, node.name + ".log"), "w").write(log.read())
        self.directory.cleanup()


def route(name, prefix, kind, service, **more):
    return {"name": name, "path_prefix": prefix, "route_type": kind, "service": service, "max_attempts": 2,
        "target_latency_s": 1.5, "timeout_s": 10, "priority": 1, **more}


def leave(status):
    """Exits at once: the connections that are still open need no farewell."""
    sys.stdout.flush()
    os._exit(status)


def main(folder, case):
    """Runs `case(fleet, record)`, which returns a list of breaches, and exits with the result."""
    record = Record(folder)

    async def play():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(fleet, record), 110)
        finally:
            fleet.stop()

    try:
        breaches = asyncio.run(play())
    except Exception as error:  # The case could not run.
        record("not_run", error=repr(error))
        print(f"not run: {error!r}")
        leave(NOT_RUN)
    for breach in breaches:
        record("BREACH", what=breach)
        print("BREACH:", breach)
    if not breaches:
        print("held")
    leave(BROKEN if breaches else HELD)
