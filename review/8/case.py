"""The store comes back from a copy that is some seconds old. The operator writes the newest value of each of its
keys again; a later configuration withdraws a key and moves a route, and a zone is evacuated."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f


def make_fleet(folder):
    return f.Fleet(folder, ["catalogue", "catalogue", "catalogue", "archive", "archive", "archive"])


async def run(fleet):
    services = ["catalogue", "archive"]
    tenants = [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0}
               for name, key in (("tenant-one", f.KEY), ("tenant-two", "key-two"))]

    def document(version, service="catalogue", listed=tenants):
        routes = [f.route("r-browse", "/browse/", service), f.route("r-lot", "/lot/", "archive")]
        return f.configuration(version, services, routes, listed)

    await fleet.start(document(1))
    await fleet.wait_until_served(["/browse/0", "/lot/0"])
    copy = fleet.store.copy()
    fleet.record.write("store", event="copied")
    for version in (2, 3, 4, 5):
        await asyncio.sleep(0.5)
        fleet.store.put("config", document(version))
    await asyncio.sleep(f.BOUNDS["config_s"] + 1)
    if f.TROUBLE:
        fleet.store.is_away = True
        fleet.record.write("store", event="away")
        await asyncio.sleep(1)
        fleet.store.restore(copy)
        fleet.store.is_away = False
        fleet.store.put("config", document(5))
    await asyncio.sleep(f.BOUNDS["stability_window_s"] + 5)

    fleet.store.put("config", document(6, "archive", tenants[:1]))
    fleet.store.put("evacuate/zone-c", {})
    changed_at = time.monotonic()
    await asyncio.sleep(f.BOUNDS["config_s"] + 1)
    old_service = old_key = evacuated = 0
    while time.monotonic() - changed_at < 20:
        is_after_evacuation = time.monotonic() - changed_at > f.BOUNDS["evacuate_s"]
        for node in fleet.nodes:
            for key, target in ((f.KEY, "/browse/x"), ("key-two", "/lot/x"), (f.KEY, "/lot/x")):
                request_id = fleet.next_id()
                await fleet.send(node, "GET", target, request_id, key)
                for each in fleet.nodes:
                    if not any(run[1] == request_id for run in each.upstream.runs):
                        continue
                    verdicts = []
                    if target.startswith("/browse/") and each.service == "catalogue":
                        old_service += 1
                        verdicts.append("OLD_SERVICE")
                    if key == "key-two":
                        old_key += 1
                        verdicts.append("WITHDRAWN_KEY")
                    if is_after_evacuation and each.zone == "zone-c":
                        evacuated += 1
                        verdicts.append("EVACUATED_ZONE")
                    fleet.record.write("judged", id=request_id, verdict="+".join(verdicts) or "ok")
        await asyncio.sleep(0.5)
    fleet.record.write("result", run_by_the_old_service=old_service, run_with_a_withdrawn_key=old_key,
                       run_in_the_evacuated_zone=evacuated)
    print("run by the old service:", old_service, "with a withdrawn key:", old_key, "in the evacuated zone:",
          evacuated)
    return old_service + old_key + evacuated == 0


if __name__ == "__main__":
    f.play(os.path.dirname(os.path.abspath(__file__)), sys.modules[__name__])
