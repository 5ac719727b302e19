"""The machine beside the photo server is suspended for 1.5 s while a set of photos arrives at another machine,
which is calm. Callers of the calm machine keep connections on which they read from sound servers. None of
those connections may end without an answer, and the process of the calm machine may not end by itself."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from fleet import TROUBLE, main, read_message, route  # noqa: E402

CALM_MACHINES = 24  # One a round, until one shows a breach.
PHOTOS_IN_A_SET = 8
PHOTO_BYTES = (2_000_000, 6_000_000)
READERS = 6  # Callers with a kept connection, on each round's machine.
SECONDS_UNTIL_SUSPENSION = (0.03, 0.10)
SUSPENSION_SECONDS = 1.5
SECONDS_FOR_ROUNDS = 95
LOST_LIMIT = 3  # Of a machine in touch, over all the time.


async def store_photo(run):
    await asyncio.sleep(0.3)
    return 200, b"stored " + run.id.encode()


async def read_lots(run):
    await asyncio.sleep(0.4)
    return 200, b"lots for " + run.id.encode()


async def keep_reading(fleet, record, node, until, lost):
    """Sends requests one after the other on one connection. Adds those to `lost` that ran and got no answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["outbound"])
    count = 0
    while not until.is_set():
        identifier = fleet.next_id()
        try:
            writer.write(fleet.request(identifier, "GET", "/lots/x"))
            await read_message(reader)
            count += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            ran = [each.name for each in fleet.backends for run in each.runs if run.id == identifier]
            record("connection_ended", id=identifier, node=node.name, answers_before=count, ran_at=",".join(ran))
            if count > 0 and ran:
                lost.append(identifier)
            return


async def case(fleet, record):
    seed = int(os.environ.get("SEED", random.randrange(1000)))
    draw = random.Random(seed)
    print("seed", seed)
    _, photos = fleet.add("photos", "photos", work=store_photo)
    calm = [fleet.add(f"c{number}", "browse", work=read_lots)[1] for number in range(CALM_MACHINES)]
    await fleet.start([route("upload", "/upload/", "upload", "photos"), route("lots", "/lots/", "safe", "browse")])
    breaches = []
    started = time.monotonic()
    for number, node in enumerate(calm):
        if breaches or time.monotonic() - started > SECONDS_FOR_ROUNDS:
            break
        until, lost = asyncio.Event(), []
        readers = [asyncio.create_task(keep_reading(fleet, record, node, until, lost)) for _ in range(READERS)]
        await asyncio.sleep(0.7)
        uploads = [asyncio.create_task(fleet.send(node, "POST", f"/upload/{number}",
            draw.randbytes(draw.randint(*PHOTO_BYTES)))) for number in range(PHOTOS_IN_A_SET)]
        if TROUBLE:
            await asyncio.sleep(draw.uniform(*SECONDS_UNTIL_SUSPENSION))
            photos.signal(signal.SIGSTOP)
            record("suspended", node=photos.name)
            await asyncio.sleep(SUSPENSION_SECONDS)
            photos.signal(signal.SIGCONT)
            record("resumed", node=photos.name)
        answers = await asyncio.gather(*uploads)
        await asyncio.sleep(1)
        until.set()
        await asyncio.gather(*readers)
        print(f"round {number + 1}, {node.name}: uploads {sorted(each.status for each in answers)}, "
            f"{len(lost)} reads lost, exit status {node.process.poll()}")
        if node.has_ended():
            record("ended", node=node.name, status=node.process.returncode)
            breaches.append(f"{node.name}, which nothing had disturbed, ended with status {node.process.returncode}")
        if len(lost) > LOST_LIMIT:
            breaches.append(f"LOST: {node.name} left {len(lost)} requests of kept connections without an answer, "
                "which ran at sound servers")
    return breaches


main(FOLDER, case)
