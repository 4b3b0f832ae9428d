"""The only tenant, and with it its key, is taken out of the configuration."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import Engine, Store, configuration, main, route, tenant  # noqa: E402

REVOKE_S = 5.0


def run(case):
    routes = [route("order", "/order/", "non_idempotent", "order-desk")]
    store, engine = Store(case.record), Engine(case.record, "i-1")
    store.put("op/config", configuration(4, routes, [tenant("selam", ["key-of-selam"])]))
    store.put("servers/i-1", engine.entry("order-desk"))
    first = case.gateway("edge-1", store)
    case.gateway("edge-2", store, seeds=[first.control])
    case.wait_until_ready()
    for gateway in case.gateways:
        if gateway.call(f"before-{gateway.name}", "/order/1", "key-of-selam") != "200":
            raise RuntimeError("the key is not accepted at the start")
        if gateway.call(f"unknown-{gateway.name}", "/order/1", "key-of-nobody") != "401":
            raise RuntimeError("an unknown key is accepted at the start")
    revoked_at = case.record.now()
    if case.trouble:
        store.put("op/config", configuration(7, routes, []), "(the key is taken away, acknowledged)")
    violations = []
    while case.record.now() < revoked_at + REVOKE_S + 5:
        time.sleep(0.5)
        for gateway in case.gateways:
            sent_after = case.record.now() - revoked_at
            for key in ("key-of-selam", "key-of-nobody"):
                id = f"{key}-{gateway.name}-{sent_after:.1f}"
                gateway.call(id, "/order/1", key)
                if not engine.ran(id):
                    continue
                if key == "key-of-nobody":
                    violations.append(f"ROUTE: {id} ran, whose key no configuration ever held")
                elif case.trouble and sent_after > REVOKE_S:
                    violations.append(f"CONFIG: {id} ran, sent {sent_after:.1f} s after its key was taken away")
    return violations


main(__file__, run)
