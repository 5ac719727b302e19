"""A caller sends a batch of safe requests on one connection before the first one is answered. A new
configuration has removed the route of some of them."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

REQUESTS = 8
REQUEST_BYTES = 4096  # Of a request with cookies; the head may have 16384 (limits.max_header_bytes).


def make_fleet(folder):
    return f.Fleet(folder, ["catalogue", "catalogue", "lots", "lots"])


def padded_head(fleet, target, request_id):
    plain = fleet.head("GET", target, request_id, more=[("Cookie", "")])
    padding = REQUEST_BYTES - len(plain)
    return fleet.head("GET", target, request_id, more=[("Cookie", "c" * padding)])


async def send_batch(fleet, node, targets):
    """Sends the requests in one go. \\return the answers in the order of the connection."""
    reader, writer = await asyncio.open_connection(node.ip, f.PORTS["outbound"], limit=1 << 20)
    ids = []
    data = b""
    for target in targets:
        ids.append(fleet.next_id())
        fleet.record.write("sent", node=node.number, id=ids[-1], method="GET", target=target, connection="batch")
        data += padded_head(fleet, target, ids[-1])
    writer.write(data)
    answers = []
    try:
        for _ in ids:
            answer = await asyncio.wait_for(f.read_message(reader), 6)
            if answer is None:
                break
            answers.append(answer)
    except asyncio.TimeoutError:
        pass
    writer.close()
    return ids, answers


async def run(fleet):
    both = [f.route("r-browse", "/browse/", "catalogue"), f.route("r-detail", "/detail/", "lots")]
    await fleet.start(f.configuration(1, ["catalogue", "lots"], both))
    await fleet.wait_until_served(["/browse/0", "/detail/0"])
    if f.TROUBLE:
        fleet.store.put("config", f.configuration(2, ["catalogue", "lots"], both[1:]))
    await asyncio.sleep(f.BOUNDS["config_s"] + 1)

    foreign = 0
    repeated = 0
    for batch in range(10):
        node = fleet.nodes[batch % len(fleet.nodes)]
        targets = [f"/browse/{batch}"] + [f"/detail/{batch}-{n}" for n in range(1, REQUESTS)]
        ids, answers = await send_batch(fleet, node, targets)
        for place, (request_id, answer) in enumerate(zip(ids, answers)):
            echo = answer.field("request-id")
            is_foreign = answer.status == 200 and echo != request_id
            foreign += is_foreign
            fleet.record.write("answered", id=request_id, place=place, status=answer.status, echo=echo,
                               body=answer.body.decode("latin-1").strip().replace(" ", "_"),
                               verdict="FOREIGN" if is_foreign else "own")
        fleet.record.write("batch", number=batch, sent=len(ids), answered=len(answers))
    counts = {}
    for _, request_id, _ in fleet.runs():
        counts[request_id] = counts.get(request_id, 0) + 1
    repeated = sum(1 for count in counts.values() if count > 1)
    fleet.record.write("result", foreign_answers=foreign, ids_that_ran_more_than_once=repeated)
    print("answers that belong to another request:", foreign)
    return foreign == 0


if __name__ == "__main__":
    f.play(os.path.dirname(os.path.abspath(__file__)), sys.modules[__name__])
