"""Bids arrive in bursts while the machine beside one of two backend servers is suspended for 1.3 s, round by
round. A bid is not idempotent, so no bid may run twice, and none that ran may be answered 429 or 503."""

import asyncio
import os
import signal
import socket
import sys
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from fleet import TROUBLE, Backend, main, route  # noqa: E402

ROUNDS = 10
BIDS_A_ROUND = 10  # As many as the two backend servers have slots.
SECONDS_UNTIL_SUSPENSION = 0.1
SUSPENSION_SECONDS = 1.3
KEEP_ALIVE_SECONDS = 2
QUEUE_OF_NEW_CONNECTIONS = 3


class BidServer(Backend):
    """Its queue of new connections is short, so that some opening packets of a burst are dropped and sent
    again by the system after a second. It closes idle connections after its announced timeout."""

    async def start(self):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        self.idle_seconds = KEEP_ALIVE_SECONDS
        await asyncio.start_server(self.serve, sock=listener, backlog=QUEUE_OF_NEW_CONNECTIONS)

    def answer_headers(self, run):
        return {**super().answer_headers(run), "Keep-Alive": f"timeout={KEEP_ALIVE_SECONDS}"}


async def bid(run):
    await asyncio.sleep(0.3)
    return 200, b"recorded " + run.id.encode()


async def case(fleet, record):
    for name in ("p1", "p2"):
        fleet.add(name, "bids", backend=BidServer(record, name, "bids", work=bid))
    _, entry = fleet.add("c1", "browse")
    await fleet.start([route("bid", "/bid/", "unsafe", "bids")])
    answers = []
    for number in range(ROUNDS):
        tasks = [asyncio.create_task(fleet.send(entry, "POST", "/bid/x", b"offer")) for _ in range(BIDS_A_ROUND)]
        if TROUBLE:
            node = fleet.nodes[number % 2]
            await asyncio.sleep(SECONDS_UNTIL_SUSPENSION)
            node.signal(signal.SIGSTOP)
            record("suspended", node=node.name)
            await asyncio.sleep(SUSPENSION_SECONDS)
            node.signal(signal.SIGCONT)
            record("resumed", node=node.name)
        answers += await asyncio.gather(*tasks)
        await asyncio.sleep(KEEP_ALIVE_SECONDS + 1)
    runs = Counter(run.id for backend in fleet.backends for run in backend.runs)
    twice = sorted(id for id, count in runs.items() if count > 1)
    refused = sorted(each.id for each in answers if each.status in (408, 421, 429, 503) and runs[each.id])
    print(f"{len(answers)} bids, answers {dict(Counter(each.status for each in answers))}")
    breaches = []
    if twice:
        breaches.append(f"TWICE: {len(twice)} bids ran more than once: {' '.join(twice)}")
    if refused:
        breaches.append(f"REFUSED: {len(refused)} bids ran and were refused: {' '.join(refused)}")
    return breaches


main(FOLDER, case)
