"""Clients that send one request on a connection of its own, and read the answer."""

import socket
import time
from typing import NamedTuple

__all__ = ["Answer", "Call", "send"]


class Answer(NamedTuple):
    """Answer to a client attempt; ``status`` is 0 if there was none.

    ``is_whole`` is whether the body came to its end as its head tells.
    """

    status: int
    headers: dict
    body: bytes
    is_whole: bool
    error: str


class Call(NamedTuple):
    """Request of a client."""

    request_id: str
    method: str
    path: str
    key: str
    deadline_ms: int
    body: bytes = b""
    headers: tuple = ()

    def encode(self):
        """Return the bytes of the request."""
        length = ()
        if self.body or self.method == "POST":
            length = (("Content-Length", str(len(self.body))),)
        return self._replace(headers=self.headers + length).encode_head() + self.body

    def encode_head(self):
        """Return the bytes of the head, with no length but one among the headers."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: app.example",
            f"X-Hibiscusspar-Request-Id: {self.request_id}",
            f"X-Hibiscusspar-Deadline-Ms: {self.deadline_ms}",
            f"Authorization: Bearer {self.key}",
        ]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(address, call, on_data=lambda data: None):
    """Send a request and return its ``Answer``."""
    ends_at = time.monotonic() + call.deadline_ms / 1000
    status, headers, body, error, is_whole = 0, {}, bytearray(), "", False
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.settimeout(max(0.01, ends_at - time.monotonic()))
            sock.sendall(call.encode())
            reader = sock.makefile("rb")
            line = reader.readline()
            if not line:
                return Answer(0, {}, b"", False, "closed without an answer")
            status = int(line.split()[1])
            while (line := reader.readline().decode("latin-1").strip()) != "":
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            is_whole = _read_body(sock, reader, headers, body, ends_at, on_data)
    except (OSError, ValueError, IndexError) as failure:
        error = repr(failure)
    return Answer(status, headers, bytes(body), is_whole, error)


def _read_body(sock, reader, headers, body, ends_at, on_data):
    def read(size):
        sock.settimeout(max(0.01, ends_at - time.monotonic()))
        data = reader.read(size)
        if len(data) < size:
            raise ValueError("the connection ended inside the body")
        return data

    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            sock.settimeout(max(0.01, ends_at - time.monotonic()))
            line = reader.readline()
            if not line.endswith(b"\n"):
                raise ValueError("the connection ended inside the body")
            size = int(line.split(b";")[0], 16)
            data = read(size)
            read(2)
            if size == 0:
                return True
            body += data
            on_data(data)
    if "content-length" in headers:
        data = read(int(headers["content-length"]))
        body += data
        on_data(data)
        return True
    while data := reader.read1(65536):
        body += data
        on_data(data)
    return True
