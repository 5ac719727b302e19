"""The operator removes the last tenant, whose key callers still use; others use keys that were never listed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

NEVER_LISTED = "key-that-no-configuration-held"


def make_fleet(folder):
    return f.Fleet(folder, ["catalogue", "catalogue", "bids", "bids"])


async def run(fleet):
    routes = [f.route("r-browse", "/browse/", "catalogue"), f.route("r-bid", "/bid/", "bids", "unsafe")]
    services = ["catalogue", "bids"]
    tenants = [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0}
               for name, key in (("tenant-one", f.KEY), ("tenant-two", "key-two"))]
    await fleet.start(f.configuration(1, services, routes, tenants))
    await fleet.wait_until_served(["/browse/0"])
    first = f.configuration(2, services, routes, tenants[:1])
    fleet.store.put("config", first)
    await asyncio.sleep(f.BOUNDS["config_s"] + 1)
    if f.TROUBLE:
        last = f.configuration(3, services, routes, tenants[:1])
        last["tenants"] = []
        fleet.store.put("config", last)
        await asyncio.sleep(f.BOUNDS["config_s"] + 1)

    withdrawn = "key-one" if f.TROUBLE else "key-two"
    broken = 0
    for round_number in range(5):
        for node in fleet.nodes:
            for key in (withdrawn, NEVER_LISTED):
                for method, target in (("GET", "/browse/x"), ("POST", "/bid/x")):
                    request_id = fleet.next_id()
                    answer = await fleet.send(node, method, target, request_id, key,
                                              body=b"bid" if method == "POST" else b"")
                    has_run = any(run[1] == request_id for run in fleet.runs())
                    broken += has_run
                    fleet.record.write("judged", id=request_id, key=key, status=answer.status if answer else "none",
                                       has_run=has_run, verdict="BROKEN" if has_run else "ok")
    fleet.record.write("result", requests_run_for_keys_that_are_not_listed=broken)
    print("requests that ran for a withdrawn or unknown key:", broken)
    return broken == 0


if __name__ == "__main__":
    f.play(os.path.dirname(os.path.abspath(__file__)), sys.modules[__name__])
