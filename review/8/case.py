"""Keys are taken away while the store turns the gateways away; it then serves them again."""
import os
import selectors
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import HOST, Engine, Store, configuration, main, route, tenant  # noqa: E402

REVOKE_S = 5.0
# The site file of abay-deck: 110 idle routes and `big_config` of 350 more; 98 clients that send 170 requests a second, with `burst`
# (1.7) and `retry_abuse` (1.9) 548. The key has 0.4 of them.
ROUTES, CLIENTS, REQUESTS_PER_S = 460, 24, 55
# The site file: `platform_down` of some machines lasts 9 s, and `config_storm` is a change each 0.2 s for 3.2 s.
AWAY_S, STORM_CHANGES, STORM_GAP_S = 5.6, 16, 0.2
ROUNDS = 11


class Callers:
    """The connected clients of one tenant at one gateway, which go on with their key; one request at a time on each
    connection."""

    def __init__(self, record, gateway, key):
        self.record, self.gateway, self.key = record, gateway, key
        self.sent_at = {}
        self.answers = {}
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def stop(self):
        self.ending.set()
        self.thread.join()

    def run(self):
        selector = selectors.DefaultSelector()
        idle = []
        for _ in range(CLIENTS):
            sock = socket.create_connection(self.gateway.callers, 3)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            idle.append(sock)
            selector.register(sock, selectors.EVENT_READ)
        started = time.monotonic()
        while not self.ending.is_set():
            while idle and len(self.sent_at) < (time.monotonic() - started) * REQUESTS_PER_S:
                self.send(idle.pop(0))
            for key, _ in selector.select(0.001):
                data = key.fileobj.recv(65536)
                if not data:
                    raise RuntimeError("the gateway closed a connection")
                status = data.split(b" ", 2)[1].decode()
                self.answers[status] = self.answers.get(status, 0) + 1
                idle.append(key.fileobj)
        for key in list(selector.get_map().values()):
            key.fileobj.close()

    def send(self, sock):
        id = f"{self.key}-{self.gateway.name}-{len(self.sent_at)}"
        self.sent_at[id] = self.record.now()
        sock.sendall(
            f"GET /stock/1 HTTP/1.1\r\nHost: {HOST}\r\nBalsamjunction-Attempt-Id: {id}\r\n"
            f"Balsamjunction-Deadline-Ms: 1000\r\nAuthorization: Bearer {self.key}\r\n\r\n".encode()
        )


def run(case):
    routes = [route("stock", "/stock/", "idempotent", "order-desk")]
    routes += [route(f"idle-{n}", f"/idle{n}/", "idempotent", "order-desk") for n in range(ROUTES)]
    others = [tenant(f"other-{n}", [f"key-of-other-{n}"]) for n in range(9)]
    keys = [f"key-{n}" for n in range(ROUNDS + 1)]
    version = 4
    store, engine = Store(case.record), Engine(case.record, "i-1")

    def publish(note):
        nonlocal version
        version += 3
        store.put("op/config", configuration(version, routes, others + [tenant("selam", keys)]), note)

    publish("")
    store.put("servers/i-1", engine.entry("order-desk"))
    first = case.gateway("edge-1", store)
    for n in range(2, 5):
        case.gateway(f"edge-{n}", store, seeds=[first.control])
    case.wait_until_ready()
    violations = []
    for _ in range(ROUNDS):
        time.sleep(1)
        revoked = keys.pop(0)
        if case.trouble:
            # The store serves the operator all the while.
            store.go_away()
        publish(f"({revoked} is taken away, acknowledged)")
        revoked_at = case.record.now()
        for _ in range(STORM_CHANGES):
            time.sleep(STORM_GAP_S)
            publish("(one of several changes)")
        time.sleep(max(0, revoked_at + REVOKE_S + 0.1 - case.record.now()))
        callers = [Callers(case.record, gateway, revoked) for gateway in case.gateways]
        time.sleep(max(0, revoked_at + AWAY_S - case.record.now()))
        if case.trouble:
            with store.changed:
                store.down = False
            case.record.line("store: serves the gateways again")
        time.sleep(1)
        for at_gateway in callers:
            at_gateway.stop()
            case.record.line(f"{at_gateway.gateway.name}: answers to requests with {revoked}: {at_gateway.answers}")
            for id, sent_at in at_gateway.sent_at.items():
                if engine.ran(id):
                    after = sent_at - revoked_at
                    violations.append(f"CONFIG: {id} ran, sent {after:.3f} s after its key was taken away")
        for gateway in case.gateways:
            gateway.wait_until_ready()
            if gateway.call(f"next-{gateway.name}-{version}", "/stock/1", keys[0], method="GET", body=b"") != "200":
                raise RuntimeError("a key in force is not accepted")
    return violations


main(__file__, run)
