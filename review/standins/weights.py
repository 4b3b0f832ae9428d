"""Stand-ins for a model engine with staged weights, and for the origin of weights."""

import asyncio
import hashlib
import json
import time

from platform_standins import Server, response

CHUNKS, CHUNK_BYTES, LAYERS = 64, 32_768, 16
MODEL = "deck100000"


def piece(version, n):
    return hashlib.sha256(f"{version}/{n}".encode()).digest() * (CHUNK_BYTES // 32)


class Origin(Server):
    """Sends manifests and pieces of all versions up to the newest named one."""

    async def handle(self, req, writer):
        version = int(req.query.get("version", "1"))
        if req.path.startswith("/manifest/"):
            digests = [hashlib.sha256(piece(version, n)).hexdigest() for n in range(CHUNKS)]
            body = {"model": MODEL, "version": version, "chunkBytes": CHUNK_BYTES, "layers": LAYERS, "digests": digests}
            return response(200, {"Content-Type": "application/json"}, json.dumps(body).encode())
        if req.path.startswith("/piece/"):
            return response(200, {}, piece(version, int(req.query["quantity"])))
        return response(404)


class ModelEngine(Server):
    """An engine that holds version 1, which is also staged, and loads what is staged when it accepts an order."""

    LOAD_S = 0.3

    def __init__(self, record, instance, service):
        self.record, self.instance, self.service = record, instance, service
        self.born = int(time.time() * 1000)
        self.version, self.sequence, self.busy = 1, 0, False
        self.staged = {n: piece(1, n) for n in range(CHUNKS)}
        self.turned_bad = {}
        self.spoilt_in_memory = []
        self.tokens_from_spoilt = 0
        self.pass_reads = 0
        self.on_check = self.on_verified = None

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": "addis-a", "version": "v1", "slots": 16,
                "state": state, "coldRemainingMs": 0, "phase": "unified", "models": self.models(),
                "sequence": self.sequence, "born": self.born}

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def all_staged(self):
        return all(self.staged[n] == piece(self.version + 1, n) for n in range(CHUNKS))

    def spoil(self, pieces):
        for n in pieces:
            self.staged[n] = bytes([self.staged[n][0] ^ 1]) + self.staged[n][1:]
            self.turned_bad[n] = time.monotonic()
        self.record(f"{self.instance}: staged pieces {pieces} turn bad")

    async def handle(self, req, writer):
        if req.path == "/report":
            body = {"phase": "unified", "models": self.models(), "busy": self.busy, "sequence": self.sequence,
                    "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 317000, "sessions": 0, "born": self.born,
                    "pace": 1.0}
            return response(200, {"Content-Type": "application/json"}, json.dumps(body).encode())
        if req.path.startswith("/stage-put/"):
            n = int(req.query["quantity"])
            self.staged[n] = req.body
            self.turned_bad.pop(n, None)
            self.pass_reads = -1
            return response(200)
        if req.path.startswith("/stage-get/"):
            return await self.read_staged(req, writer)
        if req.path == "/order":
            return self.accept(json.loads(req.body))
        return await self.generate(req, writer)

    async def read_staged(self, req, writer):
        if "quantity" not in req.query:
            self.pass_reads = 0
            if self.all_staged() and self.on_check:
                on_check, self.on_check = self.on_check, None
                on_check()
            return response(200, {"Content-Type": "application/json"}, json.dumps({"held": sorted(self.staged)}).encode())
        n = int(req.query["quantity"])
        if self.pass_reads >= 0:
            self.pass_reads += 1
        writer.write(response(200, {}, self.staged[n]))
        await writer.drain()
        if self.pass_reads == CHUNKS and self.all_staged() and self.on_verified:
            # All pieces of the next version were read back and none was written again.
            on_verified, self.on_verified = self.on_verified, None
            on_verified()
        return None

    def accept(self, order):
        version, now = order["version"], time.monotonic()
        if version <= self.version:
            return response(200)
        if self.busy:
            return response(409)
        wrong = [n for n in range(CHUNKS) if self.staged.get(n) != piece(version, n)]
        ages = {n: now - self.turned_bad[n] for n in wrong if n in self.turned_bad}
        # A piece that turned bad in the last 3 s is excused; one that is missing or of another version is not.
        self.spoilt_in_memory = [n for n in wrong if ages.get(n, 1e9) > 3.0]
        told = ", ".join(f"{n} (bad for {ages[n]:.2f} s)" if n in ages else f"{n} (not of it)" for n in wrong) or "none"
        self.record(f"{self.instance}: accepts the order to load version {version}; wrong pieces: {told}")
        self.sequence += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.load(version))
        return response(202)

    async def load(self, version):
        await asyncio.sleep(self.LOAD_S)
        self.version, self.busy = version, False
        self.record(f"{self.instance}: serves version {version}")

    async def generate(self, req, writer):
        request_id = req.get("balsamjunction-attempt-id") or ""
        echo = {"Balsamjunction-Attempt-Id": request_id}
        if req.get("balsamjunction-expect-instance") not in (None, self.instance):
            return response(421, {**echo, "Balsamjunction-Instance-Id": self.instance})
        if self.busy:
            return response(503, {**echo, "Balsamjunction-Not-Executed": "1"})
        note = f", with spoilt pieces {self.spoilt_in_memory}" if self.spoilt_in_memory else ""
        self.record(f"{self.instance}: runs request {request_id} on version {self.version}{note}")
        self.tokens_from_spoilt += bool(self.spoilt_in_memory)
        body = b"".join(b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 6))
        return response(200, {**echo, "Balsamjunction-Server-Signature": f"s.{self.instance}",
                              "Balsamjunction-Weight-Versions": self.version, "Content-Type": "text/event-stream"}, body)
