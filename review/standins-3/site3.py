"""Stand-ins and process control for the scripts of the third review: the platform's store, engines, clients.

Everything listens on loopback addresses of one block, 127.A.B.*, and on free ports. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
KEY = "key-of-selam"
HOST = "floor.example"
BORN = 1_700_000_000_000


def free_port(ip):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.f = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        self.f.write(line + "\n")
        self.f.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return b""


class Store:
    """The platform's store: /kv-range and /kv-watch, as PROTOCOL.md tells them."""

    def __init__(self):
        self.items, self.log, self.revision = {}, [], 10
        self.changed = asyncio.Event()
        self.down = False

    async def start(self, ip):
        self.ip, self.port = ip, free_port(ip)
        self.server = await asyncio.start_server(self.serve, ip, self.port)
        self.address = f"{ip}:{self.port}"

    def _event(self, event):
        self.log.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._event(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._event({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                if self.down:
                    break
                status, body = await self.answer(line.split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            after = query.get("after", "")
            found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in found[:50]]
            return 200, {"entries": page, "hasMore": len(found) > 50, "at": self.revision}
        if parts.path == "/kv-watch":
            after, until = int(query.get("after", 0)), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision if events else after}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


def route(name, prefix, kind, service, **more):
    base = {
        "name": name, "host": HOST, "prefix": prefix, "routeType": kind, "timeoutMs": 6000, "targetLatencyMs": 500,
        "priority": 1, "service": service, "maxAttempts": 2, "public": False, "sticky": False, "resumable": False,
        "gapTargetMs": 400, "allowedRegions": [],
    }
    base.update(more)
    return base


def config(routes, services, version=1):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "selam", "apiKeys": [KEY]}],
    }


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0.0, "coldPerS": 0.0}


def entry(service, address, slots=6, state="ready", zone="addis-a", born=BORN):
    return {
        "service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
        "coldRemainingMs": 0, "sequence": 1, "born": born,
    }


def fill(template, values):
    """Fills in a template as DEPLOY.md tells it, as far as the project's templates need it."""

    def lookup(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def replace(match):
        path, _, as_json = match.group(1).partition("|")
        value = lookup(path)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}]*)\}\}", replace, template)


BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "outerMs": 5000, "strictRevocation": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 100, "coldOverage": 1.5,
    "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "iterationMs": 120, "retryAfterS": 0, "version_ms": 8000,
    "version_all_ms": 0,
}


class Site:
    """A small deployment on loopback: the store, and the processes of the system that the case starts."""

    def __init__(self, record):
        self.record, self.processes = record, {}
        block = random.Random(os.getpid() * 7919 + time.time_ns())
        self.block = f"127.{block.randint(20, 250)}.{block.randint(1, 250)}"
        self.next_host = 1
        self.dir = tempfile.mkdtemp(prefix="review3-")
        self.store = Store()
        # Ports are the same on all machines (DEPLOY.md). That of the metrics is the template's, on an address of this run only.
        self.ports = {}
        while len(self.ports) < 3:
            port = free_port(f"{self.block}.1")
            if port not in self.ports.values():
                self.ports[("frontend", "readiness", "controlPlane")[len(self.ports)]] = port

    def ip(self):
        self.next_host += 1
        return f"{self.block}.{self.next_host}"

    def seed(self, ip):
        return f"{ip}:{self.ports['controlPlane']}"

    async def start(self):
        await self.store.start(self.ip())

    def settings(self, name, ip, seeds, zone="addis-a", first=True, **more):
        values = {
            "nodeName": name, "ip": ip, "zone": zone, "region": zone.rsplit("-", 1)[0],
            "portRange": [7700, 7715], "seeds": seeds, "firstStart": first,
            "zones": {"addis-a": "addis", "diredawa-a": "diredawa", "mekelle-a": "mekelle"},
            "listen": {name: f"{ip}:{port}" for name, port in self.ports.items()},
            "limits": {"cpuShare": 0.19, "cores": 1, "memoryMb": 260, "fileDescriptors": 4200, "linkMbps": 1000.0},
            "bounds": BOUNDS, "platform": {"address": self.store.address},
        }
        values.update(more)
        return values

    def launch(self, name, role, values):
        program = os.path.join(ROOT, "target", "release", "balsamjunctiond")
        template = open(os.path.join(ROOT, "deploy", f"{role}.jsonc")).read()
        path = os.path.join(self.dir, f"{name}.jsonc")
        with open(path, "w") as f:
            f.write(fill(template, values))
        log = open(os.path.join(self.dir, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen([program, role, "--settings", path], stdout=log, stderr=log, cwd=ROOT)

    async def start_gateway(self, name, seeds=None, **more):
        ip = self.ip()
        seeds = [self.seed(ip)] if seeds is None else seeds
        self.launch(name, "gateway", self.settings(name, ip, seeds, **more))
        gateway = Gateway(name, ip, self.ports)
        for _ in range(200):
            if await gateway.is_ready():
                self.record(f"{name} is ready at {ip}:{self.ports['frontend']}")
                return gateway
            await asyncio.sleep(0.05)
        raise Unable(f"{name} does not become ready")

    def signal(self, name, number):
        self.record(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Gateway:
    def __init__(self, name, ip, ports):
        self.name, self.ip, self.readiness = name, ip, ports["readiness"]
        self.callers = (ip, ports["frontend"])

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.readiness), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Unable(Exception):
    """The case could not run."""


def request(path, id, method="POST", body=b"", deadline_ms=6000, key=KEY, headers=()):
    head = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Balsamjunction-Attempt-Id: {id}",
        f"Balsamjunction-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}",
    ]
    head += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def call(gateway, data, timeout=8):
    """Sends one request on a new connection; returns the status line, the headers and the body, or what broke."""
    reader, writer = await asyncio.open_connection(*gateway.callers)
    try:
        writer.write(data)
        await writer.drain()
        line, headers = await asyncio.wait_for(read_head(reader), timeout)
        body = await asyncio.wait_for(read_body(reader, headers), timeout)
        return int(line.split(" ")[1]), headers, body
    finally:
        writer.close()


class Engine:
    """A plain engine. `answer_to` may be replaced; a run is counted when the whole request has been read."""

    def __init__(self, site, id, service, work_s=0.015, body=b"x" * 800):
        self.site, self.id, self.service, self.work_s, self.body = site, id, service, work_s, body
        self.runs = []

    async def start(self, register=True):
        ip = self.site.ip()
        port = free_port(ip)
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        if register:
            self.site.store.put(f"servers/{self.id}", entry(self.service, self.address))

    def answer_to(self, line):
        return self.body

    async def serve(self, reader, writer):
        try:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await self.handle(line, headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, body, reader, writer):
        id = headers.get("balsamjunction-attempt-id", "")
        if headers.get("balsamjunction-expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 x\r\nBalsamjunction-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.runs.append((time.monotonic(), id, line, headers, body))
        self.site.record(f"engine {self.id} runs {id}: {line}")
        await asyncio.sleep(self.work_s)
        answer = self.answer_to(line)
        writer.write(
            f"HTTP/1.1 200 OK\r\nBalsamjunction-Attempt-Id: {id}\r\nBalsamjunction-Server-Signature: {self.id}\r\n"
            f"Balsamjunction-Instance-Load: 1,0,6\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer
        )
        await writer.drain()


def main(case, folder):
    """Runs `case(site, record, trouble)`, which returns whether the rule was broken; exits as the issue asks."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(record)

    async def run():
        # Servers of the stand-ins are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await site.start()
        return await asyncio.wait_for(case(site, record, trouble), 110)

    try:
        broken = asyncio.run(run())
    except Exception as e:
        record(f"the case could not run: {type(e).__name__} {e}")
        site.close()
        print(f"could not run: {type(e).__name__} {e}")
        sys.exit(2)
    site.close()
    verdict = "the rule was broken" if broken else "the rule held"
    record(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
