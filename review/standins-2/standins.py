"""Stand-ins for the platform's store, for engines and for clients, and the gateways under test.

The stand-ins follow the users' pages (PROTOCOL, DEPLOY). Only the standard library is used. All addresses are
loopback addresses; ports are free ones, but for the metrics port that the settings template fixes, so each gateway
has a loopback address of its own.
"""
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
import threading
import time
from urllib.parse import parse_qs, urlparse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "balsamjunctiond")
TEMPLATE = os.path.join(ROOT, "deploy", "gateway.jsonc")
HOST = "floor.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of a small deployment, as DEPLOY.md and the sheets state them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "outerMs": 5000, "strictRevocation": True,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 100, "evacuateMs": 5000,
    "recoverS": 12, "version_ms": 8000,
}


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.f = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        with self.lock:
            self.f.write(f"{self.now():8.3f}  {text}\n")
            self.f.flush()


class Reader:
    """Buffered reads of a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the connection ended")
        self.buf += data

    def until(self, mark):
        while mark not in self.buf:
            self.fill()
        end = self.buf.index(mark) + len(mark)
        head, self.buf = self.buf[:end], self.buf[end:]
        return head

    def exactly(self, length):
        while len(self.buf) < length:
            self.fill()
        data, self.buf = self.buf[:length], self.buf[length:]
        return data

    def message(self):
        """Reads a message with a length or in chunks; returns its first line, headers and body."""
        head = self.until(b"\r\n\r\n")
        first, *lines = head[:-4].split(b"\r\n")
        headers = {}
        for line in lines:
            name, value = line.split(b":", 1)
            headers[name.decode("latin-1").lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", b"").lower() == b"chunked":
            while True:
                length = int(self.until(b"\r\n").split(b";")[0], 16)
                body += self.exactly(length)
                self.exactly(2)
                if length == 0:
                    break
        else:
            body = self.exactly(int(headers.get("content-length", b"0")))
        return first.decode("latin-1"), headers, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def listen(handle, ip="127.0.0.1"):
    """Serves each connection in a thread; returns the address."""
    listener = socket.create_server((ip, 0), backlog=256)

    def serve(sock):
        with sock:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                handle(sock)
            except (OSError, EOFError, ValueError):
                pass

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    host, port = listener.getsockname()
    return f"{host}:{port}"


class Store:
    """The platform's store: one revision counter, listings and watches (PROTOCOL.md)."""

    def __init__(self, record, name="store", era=None):
        self.record, self.name, self.era = record, name, era
        self.changed = threading.Condition()
        self.revision, self.items, self.history = 10, {}, []
        self.down = False
        self.reads = 0
        self.address = listen(self.serve)

    def put(self, key, value, note=""):
        """Writes an item; returns once it is acknowledged."""
        data = base64.b64encode(json.dumps(value, ensure_ascii=False).encode()).decode()
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            created = known["created"] if known else self.revision
            item = {"key": key, "value": data, "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
            self.record.line(f"{self.name}: {key} written at revision {self.revision} {note}")

    def delete(self, key, note=""):
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()
            self.record.line(f"{self.name}: {key} removed at revision {self.revision} {note}")

    def copy(self):
        with self.changed:
            return self.revision, dict(self.items), list(self.history)

    def go_away(self):
        with self.changed:
            self.down = True
            self.changed.notify_all()
        self.record.line(f"{self.name}: away")

    def come_back_from(self, copy):
        with self.changed:
            self.revision, self.items, self.history = copy[0], dict(copy[1]), list(copy[2])
            self.era += 1
            self.down = False
        self.record.line(f"{self.name}: back from a copy, revision {self.revision}, Store-Era {self.era}")

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, _, _ = reader.message()
            url = urlparse(first.split(" ")[1])
            query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            prefix = query.get("prefix", "")
            self.reads += 1
            status, result = 200, None
            with self.changed:
                if self.down:
                    return
                if url.path == "/kv-range":
                    keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
                    page = [self.items[k] for k in keys[:500]]
                    result = {"entries": page, "hasMore": len(keys) > 500, "at": self.revision}
                elif url.path == "/kv-watch":
                    status, result = self.watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000)
                else:
                    status = 404
                if self.down:
                    return
            headers = [("Content-Type", "application/json")]
            if self.era is not None:
                headers.append(("Store-Era", self.era))
            sock.sendall(response(status, json.dumps(result or {}).encode(), headers))

    def watch(self, prefix, after, wait):
        if after > self.revision:
            return 410, None
        until = time.monotonic() + wait
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            remaining = until - time.monotonic()
            if events or remaining <= 0 or self.down:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(remaining)


class Engine:
    """An engine of a plain service that runs every request meant for it, and answers with `answer`."""

    def __init__(self, record, id, answer=b"done"):
        self.record, self.id, self.answer = record, id, answer
        self.lock = threading.Lock()
        self.runs = []
        self.address = listen(self.serve)

    def entry(self, service, zone="addis-a"):
        return {
            "service": service, "address": self.address, "zone": zone, "version": 1, "slots": 6, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": int(time.time() * 1000),
        }

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, headers, _ = reader.message()
            id = headers.get("balsamjunction-attempt-id", b"").decode("latin-1")
            echo = ("Balsamjunction-Attempt-Id", id)
            if headers.get("balsamjunction-expect-instance", self.id.encode()) != self.id.encode():
                sock.sendall(response(421, b"", [echo, ("Balsamjunction-Not-Executed", "1")]))
                continue
            tenant = headers.get("balsamjunction-tenant")
            with self.lock:
                self.runs.append((id, tenant))
            self.record.line(f"engine {self.id} runs {id}: {first.rsplit(' ', 1)[0]}, tenant {tenant}")
            sock.sendall(response(200, self.answer, [echo, ("Balsamjunction-Server-Signature", "s." + self.id)]))
            self.record.line(f"engine {self.id} has sent its answer to {id}")

    def ran(self, id):
        with self.lock:
            return [tenant for run, tenant in self.runs if run == id]


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells it; sections are not needed here."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Gateway:
    """A gateway process, started with the command of the deploy file on settings from its template."""

    def __init__(self, record, folder, name, store, zones, seeds=()):
        self.record, self.name = record, name
        # An address of its own, since the template fixes the port of the metrics.
        self.ip = f"127.{random.randint(64, 127)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        ports = [free_port(self.ip) for _ in range(3)]
        callers, readiness, control = (f"{self.ip}:{port}" for port in ports)
        self.callers, self.readiness, self.control = (self.ip, ports[0]), (self.ip, ports[1]), control
        self.fields = {
            "nodeName": name, "ip": self.ip, "zone": "addis-a", "zones": dict(zones), "firstStart": True,
            "listen": {"frontend": callers, "readiness": readiness, "controlPlane": control},
            "seeds": list(seeds) or [control], "platform": {"address": store}, "bounds": BOUNDS,
            "limits": {"memoryMb": 260, "fileDescriptors": 4200},
        }
        self.path = os.path.join(folder, name + ".jsonc")
        self.log = os.path.join(folder, name + ".log")
        self.write_settings()
        self.start()

    def write_settings(self):
        with open(TEMPLATE, encoding="utf-8") as f:
            text = render(f.read(), self.fields)
        with open(self.path + ".new", "w", encoding="utf-8") as f:
            f.write(text)
        os.replace(self.path + ".new", self.path)

    def start(self):
        with open(self.log, "ab") as log:
            command = [BINARY, "gateway", "--settings", self.path]
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.record.line(f"{self.name}: started")

    def change_settings(self):
        """Replaces the settings file by the present fields and sends SIGHUP."""
        self.write_settings()
        self.process.send_signal(signal.SIGHUP)
        self.record.line(f"{self.name}: settings file changed, SIGHUP")

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.readiness, 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
                return Reader(sock).message()[0].split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def wait_until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until:
                raise RuntimeError(f"{self.name} does not become ready")
            time.sleep(0.05)

    def call(self, id, path, key=None, method="POST", body=b"x"):
        """Sends a request on a new connection; returns the status, or the way in which the connection failed."""
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Balsamjunction-Attempt-Id: {id}",
            "Balsamjunction-Deadline-Ms: 3000", f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"Authorization: Bearer {key}")
        self.record.line(f"client sends {id} to {self.name}: {method} {path}, key {key}")
        try:
            with socket.create_connection(self.callers, 3) as sock:
                sock.settimeout(5)
                sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                status = Reader(sock).message()[0].split(" ")[1]
        except (OSError, EOFError) as e:
            status = type(e).__name__
        self.record.line(f"{id} is answered {status}")
        return status


def route(name, prefix, kind, service, **fields):
    return {
        "name": name, "host": HOST, "prefix": prefix, "routeType": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
        "priority": 2, "service": service, "maxAttempts": 2, "public": False, "sticky": False, "resumable": False,
        "allowedRegions": [], **fields,
    }


def tenant(name, keys):
    return {"name": name, "apiKeys": keys, "priority": 1, "allowedRegions": []}


def configuration(version, routes, tenants):
    return {
        "version": version, "routes": routes, "tenants": tenants,
        "services": [{
            "name": "order-desk", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0.0, "coldPerS": 0.0,
        }],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Case:
    """A case: its folder, its record, and the processes that it started."""

    def __init__(self, file):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.dirname(os.path.abspath(file)))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gateways = []

    def gateway(self, name, store, zones=(("addis-a", "addis"),), seeds=()):
        gateway = Gateway(self.record, self.folder, name, store.address, zones, seeds)
        self.gateways.append(gateway)
        return gateway

    def wait_until_ready(self):
        for gateway in self.gateways:
            gateway.wait_until_ready()

    def stop(self):
        for gateway in self.gateways:
            gateway.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(file, run):
    """Runs a case; `run` returns a description of each violation. Exits with 1 if there is one, 0 if there is none,
    and 2 if the case could not run."""
    if not os.path.exists(BINARY):
        print("the deploy file's build has not been run")
        sys.exit(NOT_RUN)
    case = Case(file)
    try:
        violations = run(case)
    except Exception as e:  # noqa: BLE001 - whatever fails, the case could not run
        case.record.line(f"the case could not run: {e!r}")
        print(f"could not run: {e!r}")
        code = NOT_RUN
    else:
        for violation in violations:
            case.record.line(f"VIOLATION: {violation}")
        print(f"{len(violations)} violations" + (f", the first: {violations[0]}" if violations else ""))
        code = BROKEN if violations else HELD
    finally:
        case.stop()
    sys.exit(code)
