"""A backend server answers uploads before it has read them whole, with an answer that ends with its connection.
It is killed in the middle of such an answer, which resets the connection. The caller must not get the part
that came as a success."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from backend import whole_answer  # noqa: E402
from fleet import TROUBLE, Backend, free_port, main, route  # noqa: E402

SERVERS = 4
UPLOAD_BYTES = 12_000_000  # More than the buffers of a connection hold.
SECONDS_UNTIL_KILL = 0.4


class UploadServer(Backend):
    process = None

    async def start(self):
        self.port = free_port()
        self.started = asyncio.get_running_loop().create_future()
        self.process = await asyncio.create_subprocess_exec(sys.executable, os.path.join(FOLDER, "backend.py"),
            str(self.port), self.id, stdout=asyncio.subprocess.PIPE)
        await self.process.stdout.readline()
        self.reader = asyncio.create_task(self.follow())

    async def follow(self):
        while line := await self.process.stdout.readline():
            word, identifier = line.decode().split()
            self.record(word, backend=self.name, id=identifier)
            if word == "run" and TROUBLE:
                asyncio.get_running_loop().call_later(SECONDS_UNTIL_KILL, self.kill, identifier)

    def kill(self, identifier):
        if self.process.returncode is None:
            self.record("killed", backend=self.name, during=identifier)
            self.process.kill()

    async def beat(self):
        if self.process.returncode is None:
            await super().beat()


async def case(fleet, record):
    servers = [fleet.add(f"p{i}", "photos", backend=UploadServer(record, f"p{i}", "photos"))[0] for i in range(SERVERS)]
    _, entry = fleet.add("c1", "browse")
    breaches = []
    try:
        await fleet.start([route("upload", "/upload/", "upload", "photos")])
        for number in range(SERVERS - 1):
            answer = await fleet.send(entry, "POST", f"/upload/{number}", os.urandom(UPLOAD_BYTES))
            whole = whole_answer(answer.id)
            print(f"{answer.id}: status {answer.status}, {len(answer.body)} of {len(whole)} bytes")
            if answer.status == 200 and answer.body != whole:
                breaches.append(f"MIXED: {answer.id} got a success with {len(answer.body)} of {len(whole)} bytes")
            await asyncio.sleep(2)
    finally:
        for server in servers:
            if server.process and server.process.returncode is None:
                server.process.kill()
    return breaches


main(FOLDER, case)
