"""Requests that are hidden in the bodies of requests with an ambiguous length."""

import re
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from clients import Call
from deployment import TROUBLE, config, deployment, route
from replicas import Replica

KEY = "k-acme-1"
ROUNDS = 2


def framings(hidden):
    """Return the header lines and body of one request, by the name of its framing.

    The body holds the bytes of ``hidden``.
    """
    length = ("Content-Length", str(len(hidden)))
    none = ("Content-Length", "0")
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(hidden), hidden)
    found = {
        "one length": ((length,), hidden),
        "chunks": ((("Transfer-Encoding", "chunked"),), chunks),
    }
    if TROUBLE:
        found["two lengths, the first is right"] = ((length, none), hidden)
        found["two lengths, the second is right"] = ((none, length), hidden)
    return found


def exchange(address, data):
    """Send bytes on a connection of their own; return the statuses of the answers."""
    answers = b""
    with socket.create_connection(address, timeout=1.0) as sock:
        sock.settimeout(0.6)
        sock.sendall(data)
        try:
            while part := sock.recv(65536):
                answers += part
        except OSError:
            pass
    return [int(text) for text in re.findall(rb"HTTP/1\.1 (\d{3})", answers)]


def main():
    """Run the case; return 1 if the rule was broken."""
    routes = [route("r-issue", "/issue/", "unsafe", "cert-registry")]
    content = config(routes, "cert-registry", {"acme": KEY})
    number = 0
    with deployment(__file__, content, Replica) as parts:
        for node in parts.nodes * ROUNDS:
            for name in framings(b""):
                number += 1
                hidden = Call(f"hidden-{number}", "POST", "/issue/hidden", KEY, 1500)
                fields, body = framings(hidden.encode())[name]
                call = Call(
                    f"sent-{number}", "POST", f"/issue/{number}", KEY, 1500, b"", fields
                )
                parts.record(f"sent {call.request_id} to {node.name}: {name} {fields}")
                statuses = exchange(node.front, call.encode_head() + body)
                parts.record(f"answered {call.request_id} {statuses}")
        time.sleep(0.5)
    ran = {row[1] for replica in parts.replicas for row in replica.runs}
    found = sorted(name for name in ran if name.startswith("hidden-"))
    result = f"{len(found)} of {number} requests that nobody sent ran: {found}"
    parts.record(result)
    print(result)
    return 1 if found else 0


sys.exit(main())
