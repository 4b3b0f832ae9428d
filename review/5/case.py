"""Case 5: a machine freezes between the check of the staged weights and the order to load them."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standins import BROKEN, HELD, TROUBLE, CannotRun, Site, Store, call, run_case  # noqa: E402
from weights import CHUNKS, MODEL, ModelEngine, Origin  # noqa: E402

KEY = "key-of-selam-0001"
FREEZE_S = 4.0
SPOILT = [3, 40]


def configuration(origin):
    route = {"name": "r-draft", "host": "floor.example", "prefix": "/draft/", "routeType": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "deck-model", "maxAttempts": 2,
             "public": False, "sticky": True, "resumable": True, "gapTargetMs": 400, "allowedRegions": []}
    model = {"name": "deck-model", "healthPath": "/healthz", "maxConnections": 294, "coldStartS": 0.0, "coldPerS": 0.0,
             "engine": {"slots": 16, "stride": 5, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322,
                        "read_per_s": 20700.0, "layers": 16, "chunks": CHUNKS, "chunkBytes": 32768,
                        "usual": {"prompt": 979, "answer": 92}, "models": [{"name": MODEL, "warmS": 0.3}]}}
    source = {"name": "floor-terminal", "origin": origin, "zone": "addis-a", "linkMbps": 9.9, "maxConnections": 48}
    return {"version": 3, "routes": [route], "services": [model, source],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "selam", "apiKeys": [KEY], "priority": 1, "allowedRegions": []}]}


async def send(record, gateway, request_id):
    headers = {"Host": "floor.example", "Balsamjunction-Attempt-Id": request_id, "Balsamjunction-Model": MODEL,
               "Balsamjunction-Token-Usage": "400,80", "Balsamjunction-Deadline-Ms": "6000",
               "Authorization": f"Bearer {KEY}"}
    answer = await call(gateway["callers"], "POST", "/draft/sheet", headers, b"x" * 300)
    version = answer.headers.get("balsamjunction-weight-versions")
    record(f"client: request {request_id} gets {answer.status}, version {version}, {len(answer.body)} bytes")
    return answer


async def case(record):
    store = await Store().listen()
    origin = await Origin().listen()
    engine = await ModelEngine(record, "i-e1", "deck-model").listen()
    await store.put("op/config", configuration(origin.address))
    await store.put("servers/i-e1", engine.entry())
    await store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
    site = Site(record, store)
    loop = asyncio.get_running_loop()
    checked = asyncio.Event()
    try:
        gateways = [site.start_gateway("g1"), site.start_gateway("g2")]
        for gateway in gateways:
            await site.wait_ready(gateway)
        stager = site.start_stager("s1", engine)
        await asyncio.sleep(3)
        await send(record, gateways[0], "before")

        def wake(name, process):
            process.send_signal(signal.SIGCONT)
            record(f"the machine of {name} wakes")

        def freeze(name, process):
            process.send_signal(signal.SIGSTOP)
            record(f"the machine of {name} freezes")
            loop.call_later(FREEZE_S, wake, name, process)

        def check_begins():
            record(f"{engine.instance}: s1 begins to read all staged pieces before it orders")
            if TROUBLE:
                freeze("g2", gateways[1]["process"])

        def all_verified():
            record(f"{engine.instance}: s1 has read all staged pieces, and all were right")
            checked.set()
            if TROUBLE:
                loop.call_later(0.02, engine.spoil, SPOILT)
                loop.call_later(0.04, freeze, "s1", stager)

        engine.on_check = check_begins
        engine.on_verified = all_verified
        await store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        record("operator: version 2 is named")
        try:
            await asyncio.wait_for(checked.wait(), 40)
        except asyncio.TimeoutError:
            raise CannotRun("the stager did not check the staged pieces")
        for _ in range(200):
            if engine.version == 2:
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the engine got no order")
        await store.put("servers/i-e1", engine.entry())
        await asyncio.sleep(1.5)
        for n in range(3):
            await send(record, gateways[0], f"after-{n}")
        for line in site.log_lines("s1", "weights"):
            record(f"log of s1: {line['step']} version {line['version']} {line['detail']}")
    finally:
        site.close()
    return BROKEN if engine.tokens_from_spoilt else HELD


run_case(FOLDER, case)
