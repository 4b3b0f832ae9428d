"""A stand-in for an engine of a plain service."""

import asyncio
import time

from platform_standins import Server, response


class ServiceEngine(Server):
    """Runs each request once and answers after `work_s`."""

    def __init__(self, record, instance, service, work_s=0.015, zone="addis-a"):
        self.record, self.instance, self.service, self.work_s, self.zone = record, instance, service, work_s, zone
        self.born = int(time.time() * 1000)
        self.sequence, self.runs, self.running = 0, [], 0

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
                "state": state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}

    async def handle(self, req, writer):
        request_id = req.get("balsamjunction-attempt-id") or ""
        echo = {"Balsamjunction-Attempt-Id": request_id}
        if req.get("balsamjunction-expect-instance") not in (None, self.instance):
            self.record(f"{self.instance} ({self.service}): 421 to request {request_id}")
            return response(421, {**echo, "Balsamjunction-Instance-Id": self.instance})
        self.runs.append((request_id, time.monotonic(), req))
        self.record(f"{self.instance} ({self.service}): runs {req.method} {req.target}, request {request_id}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return response(200, {**echo, "Balsamjunction-Server-Signature": f"s.{self.instance}",
                              "Balsamjunction-Instance-Load": f"{self.running},0,6"}, f"done by {self.instance}".encode())
