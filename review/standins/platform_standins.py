"""Stand-ins for the users' platform on loopback addresses: store, engines, services, origin of weights, clients.

They follow PROTOCOL.md and use the standard library only. One event loop runs all stand-ins of a case; the programs
under test are separate processes, which `Site` starts with the commands of deploy/system.toml and ends by their ids.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/release/balsamjunctiond"
IP = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2
GIVEN_PORTS = set()


class CannotRun(Exception):
    """The case could not be carried out, so that it says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        print(self.quiet(text), flush=True)

    def quiet(self, text):
        """Writes a line to the file only: there are many of its kind."""
        line = f"{self.now():8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        return line


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def get(self, name):
        return self.headers.get(name.lower())


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    return Request(method, target, headers, body)


def response(status, headers=None, body=b""):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """An HTTP/1.1 server on a free loopback port. `handle` returns the bytes to write, or None if it wrote them."""

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, IP, 0, limit=1 << 20, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                req = await read_request(reader)
                req.reader = reader
                out = await self.handle(req, writer)
                if out is not None:
                    writer.write(out)
                    await writer.drain()
                if (req.get("connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: one revision counter, listings in pages, watches."""

    PAGE = 500

    def __init__(self):
        self.items, self.log, self.revision = {}, [], 0
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision,
                "created": self.revision, "lease": 0}
        self.items[key] = item
        await self._publish(item)

    async def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self._publish({"key": key, "revision": self.revision, "deleted": True})

    async def _publish(self, event):
        self.log.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, req, writer):
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        prefix = req.query.get("prefix", "")
        if req.path == "/kv-range":
            after = req.query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[: self.PAGE]]
            body = {"entries": page, "hasMore": len(keys) > len(page), "at": self.revision}
            return response(200, headers, json.dumps(body).encode())
        if req.path == "/kv-watch":
            after, wait = int(req.query["after"]), int(req.query["waitMs"]) / 1000
            if after > self.revision:
                return response(410, headers)
            find = lambda: [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(find), wait)
            except asyncio.TimeoutError:
                pass
            events = find()
            at = self.revision if events else max(after, self.revision)
            return response(200, headers, json.dumps({"events": events, "at": at}).encode())
        return response(404, headers)


def free_port():
    """A free port below those that the system gives to outgoing connections, which could take it before it is used."""
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as s:
            try:
                s.bind((IP, port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return port


class Site:
    """A small deployment with the bounds of sites/abay-deck.toml, and the processes that a case started."""

    BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100, "retry_window_s": 10,
              "version_within_ms": 8000, "contact_after_ms": 3000}

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.dir = tempfile.TemporaryDirectory(prefix="balsam-review-")
        self.processes, self.seeds = {}, []

    def _start(self, name, role, settings):
        if not DAEMON.exists():
            raise CannotRun(f"{DAEMON} is not built")
        path = pathlib.Path(self.dir.name) / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        out = open(pathlib.Path(self.dir.name) / f"{name}.out", "ab")
        command = [str(DAEMON), role, "--settings", str(path)]
        process = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        self.processes[name] = process
        self.record(f"{name} starts ({role})")
        return process

    def start_gateway(self, name, zone="addis-a", zones=None, first_start=True, store=None):
        inner = f"{IP}:{free_port()}"
        gateway = {"name": name, "callers": (IP, free_port()), "ready": (IP, free_port()), "inner": inner}
        settings = {
            "host": name, "data_centre": zone, "regions": zones or {"addis-a": "addis"},
            "listen": "%s:%d" % gateway["callers"], "readiness_listen": "%s:%d" % gateway["ready"],
            "inner_listen": inner, "metrics_listen": f"{IP}:{free_port()}", "store": store or self.store.address,
            "seeds": self.seeds or [inner], "strict_revocation": True, "revoke_within_ms": 5000,
            "first_start": first_start, **self.BOUNDS,
        }
        self.seeds = (self.seeds + [inner])[:3]
        gateway["process"] = self._start(name, "gateway", settings)
        return gateway

    def start_stager(self, name, engine, zone="addis-a"):
        settings = {
            "host": name, "data_centre": zone, "inner_listen": f"{IP}:{free_port()}",
            "metrics_listen": f"{IP}:{free_port()}", "store": self.store.address, "seeds": self.seeds,
            "engine": engine.address, "service": engine.service, "link_mbps": 7.6, "version_within_ms": 8000,
        }
        return self._start(name, "stager", settings)

    def log_lines(self, name, event):
        text = (pathlib.Path(self.dir.name) / f"{name}.out").read_text(errors="replace")
        lines = []
        for line in text.splitlines():
            try:
                line = json.loads(line)
            except ValueError:
                continue
            if isinstance(line, dict) and line.get("event") == event:
                lines.append(line)
        return lines

    async def wait_ready(self, gateway, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                if (await call(gateway["ready"], "GET", "/readyz", {"Host": "ready.example"})).status == 200:
                    self.record(f"{gateway['name']} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{gateway['name']} does not become ready")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.dir.cleanup()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def read_answer(reader):
    """Reads an answer; `complete` is false if its connection ends before it is whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(None, {}, b"", False)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"0", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def call(address, method, target, headers, body=b"", within=12):
    """Sends a request on a connection of its own and reads the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines + ["", ""]).encode("latin-1") + body)
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), within)
    finally:
        writer.close()


def run_case(folder, case):
    """Runs `case(record)`, which returns HELD or BROKEN, and exits as the issue says."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110))
    except CannotRun as e:
        record(f"the case could not run: {e}")
        code = NOT_RUN
    except asyncio.TimeoutError:
        record("the case could not run: it took too long")
        code = NOT_RUN
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}[code])
    sys.exit(code)
