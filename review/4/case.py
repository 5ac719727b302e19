"""A backend server in trouble answers with bytes that don't end. The platform ends a process that exceeds its
memory, here 160 MB. The process beside the server must stay below that; callers that keep connections to it and
read from sound servers must not lose their answers."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from fleet import TROUBLE, Backend, http_message, main, read_message, route  # noqa: E402

SLOTS = 10
MEMORY_MB = 160
ROUNDS = 3  # Each with another server in trouble.
READERS = 6
LOST_LIMIT = 3
PIECE = b"y" * (1 << 16)


async def read_lots(run):
    await asyncio.sleep(0.4)
    return 200, b"lots for " + run.id.encode()


class SpoilingServer(Backend):
    is_in_trouble = False

    async def respond(self, writer, status, fields, answer):
        if not self.is_in_trouble:
            await super().respond(writer, status, fields, answer)
            return
        self.record("answers_without_end", backend=self.name, id=fields["Request-Id"])
        writer.write(http_message(f"HTTP/1.1 {status} OK", fields))
        while True:  # Until the caller closes the connection.
            writer.write(PIECE)
            await writer.drain()


def resident_mb(process):
    try:
        with open(f"/proc/{process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024
    except (OSError, StopIteration):
        return 0


async def enforce_memory(record, node, ended):
    """As the platform does: ends the process when it exceeds its memory."""
    most = 0
    while not node.has_ended():
        most = max(most, resident_mb(node.process))
        if most > MEMORY_MB:
            node.signal(signal.SIGKILL)
            record("killed_for_memory", node=node.name, resident_mb=f"{most:.0f}")
            ended.append(f"{node.name} exceeded its memory: {most:.0f} MB of {MEMORY_MB}")
            return
        await asyncio.sleep(0.002)


async def keep_reading(fleet, record, node, until, lost):
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
    photos = [fleet.add(f"p{i}", "photos", backend=SpoilingServer(record, f"p{i}", "photos", slots=SLOTS))
        for i in range(ROUNDS)]
    for i in range(2):
        fleet.add(f"l{i}", "lots", slots=SLOTS, work=read_lots)
    _, entry = fleet.add("c1", "browse")
    await fleet.start([route("photos", "/photos/", "safe", "photos", max_attempts=1), route("lots", "/lots/", "safe", "lots")])
    ended = []
    watches = [asyncio.create_task(enforce_memory(record, node, ended)) for node in fleet.nodes]
    breaches = []
    for server, node in photos:
        until, lost = asyncio.Event(), []
        readers = [asyncio.create_task(keep_reading(fleet, record, node, until, lost)) for _ in range(READERS)]
        await asyncio.sleep(0.7)
        server.is_in_trouble = TROUBLE
        requests = [asyncio.create_task(fleet.send(entry, "GET", "/photos/x")) for _ in range(SLOTS * ROUNDS)]
        answers = await asyncio.gather(*requests)
        await asyncio.sleep(1)
        server.is_in_trouble = False
        until.set()
        await asyncio.gather(*readers)
        print(f"{node.name}: answers {sorted(each.status for each in answers)}, {len(lost)} reads lost, "
            f"exit status {node.process.poll()}, {resident_mb(node.process):.0f} MB now")
        if len(lost) > LOST_LIMIT:
            breaches.append(f"LOST: {node.name} left {len(lost)} requests of kept connections without an answer, "
                "which ran at sound servers")
        await asyncio.sleep(1)
    return ended + breaches


main(FOLDER, case)
