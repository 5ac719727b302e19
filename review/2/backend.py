"""A backend server for uploads, as a process of its own that can be killed. It answers before it has read the
whole body, and its answer has no length and ends with its connection. Usage: backend.py PORT ID"""

import re
import socket
import sys
import threading
import time

ANSWER_BYTES = 20000
SECONDS_BEFORE_READING_ON = 0.8


def whole_answer(identifier):
    return f"stored {identifier} ".encode().ljust(ANSWER_BYTES, b"+")


def serve(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(4096)
        if not piece:
            return
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    text = head.decode("latin-1")
    identifier = re.search(r"(?im)^request-id: (\S+)", text).group(1)
    length = int(re.search(r"(?im)^content-length: (\d+)", text).group(1))
    print("run", identifier, flush=True)
    answer = whole_answer(identifier)
    connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {identifier}\r\nServer-Stamp: {sys.argv[2]}.{identifier}\r\n"
        "Connection: close\r\n\r\n".encode() + answer[: ANSWER_BYTES // 2])
    time.sleep(SECONDS_BEFORE_READING_ON)
    left = length - len(rest)
    while left > 0:
        piece = connection.recv(1 << 16)
        if not piece:
            return
        left -= len(piece)
    connection.sendall(answer[ANSWER_BYTES // 2 :])
    connection.close()
    print("done", identifier, flush=True)


if __name__ == "__main__":
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)  # A small window, as on the machines.
    listener.bind(("127.0.0.1", int(sys.argv[1])))
    listener.listen(64)
    print("ready", flush=True)
    while True:
        accepted, _ = listener.accept()
        threading.Thread(target=serve, args=(accepted,), daemon=True).start()
