"""Replicas that break answers off and repeat the answer before, and their clients."""

import random
import threading
import time

from clients import Call, send
from deployment import TROUBLE, config, deployment, route
from replicas import Replica

__all__ = ["SpoilingReplica", "run_case"]

KEYS = {"acme": "k-acme-1", "bolt": "k-bolt-1"}
# Replicas and share of their answers that are spoiled, and for how long in seconds.
SPOILED_REPLICAS, SPOILED_SHARE, SPOILED_S = 2, 0.03, 5.0
CLIENTS, PAUSE_S = 30, 0.05


class SpoilingReplica(Replica):
    """Replica that spoils some of its answers while ``spoils``.

    It breaks such an answer off, sends the answer to the request before on the
    connection once more, and closes the connection.
    """

    spoils = False
    spoiled_count = 0

    def start(self, software=None):
        """Start an incarnation."""
        self._sent_before = {}
        super().start(software)

    def cut(self, status_line, head, text):
        """Return the number of bytes after which an answer is broken off."""
        raise NotImplementedError

    def run(self, sock, request_id, method, path, headers, body):
        """Run a request; return whether the connection is kept."""
        time.sleep(self.work_s)
        text = f"{request_id} by {self.name} ".encode().ljust(800, b".")
        text = text[:-32] + f"{request_id} ends".encode().rjust(32, b".")
        fields = [
            "HTTP/1.1 200 OK",
            f"X-Hibiscusspar-Request-Id: {request_id}",
            f"X-Hibiscusspar-Response-Seal: {self.name}.{request_id}",
            "Content-Type: text/plain",
            "Cache-Control: no-store",
            f"Content-Length: {len(text)}",
            "Keep-Alive: timeout=15",
        ]
        head = ("\r\n".join(fields) + "\r\n\r\n").encode()
        before = self._sent_before.get(sock)
        if before and self.spoils and random.random() < SPOILED_SHARE:
            cut = self.cut(fields[0], head, text)
            self.spoiled_count += 1
            self._record(
                f"replica {self.name} breaks the answer to {request_id} off after"
                f" {(head + text)[:cut][-24:]!r} and repeats the one before"
            )
            sock.sendall((head + text)[:cut] + before)
            return False
        self._sent_before[sock] = head + text
        sock.sendall(head + text)
        return True


def _call_often(client, parts, stop, statuses, mixed):
    """Send requests, one after the other, and check whose answers come."""
    number = 0
    tenant = sorted(KEYS)[client % len(KEYS)]
    node = parts.nodes[client % len(parts.nodes)]
    while not stop.is_set():
        number += 1
        request_id = f"{tenant}-{client:02d}-{number}"
        method, kind = ("POST", "issue") if number % 3 else ("GET", "lookup")
        call = Call(
            request_id,
            method,
            f"/{kind}/{client}/{number}",
            KEYS[tenant],
            1500,
            b"{}" if method == "POST" else b"",
        )
        answer = send(node.front, call)
        statuses.append(answer.status)
        name = request_id.encode()
        is_own = answer.body.startswith(name + b" by ") and answer.body.endswith(
            b"." + name + b" ends"
        )
        parts.record(f"sent {request_id}, answered {answer.status}, own {is_own}")
        if answer.status == 200 and answer.is_whole and not is_own:
            mixed.append(request_id)
            begin, end = answer.body[:24], answer.body[-24:]
            parts.record(f"MIXED {request_id} got {begin!r} to {end!r}")
        time.sleep(PAUSE_S)


def run_case(case, replica_type):
    """Run a case; return 1 if a client got other bytes than those of its answer."""
    routes = [
        route("r-issue", "/issue/", "unsafe", "cert-registry"),
        route("r-lookup", "/lookup/", "safe", "cert-registry", maxAttempts=2),
    ]
    content = config(routes, "cert-registry", KEYS)
    stop, statuses, mixed = threading.Event(), [], []
    with deployment(case, content, replica_type) as parts:
        threads = [
            threading.Thread(
                target=_call_often, args=(n, parts, stop, statuses, mixed), daemon=True
            )
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        for replica in parts.replicas[:SPOILED_REPLICAS]:
            replica.spoils = TROUBLE
        time.sleep(SPOILED_S)
        for replica in parts.replicas:
            replica.spoils = False
        time.sleep(1.0)
        stop.set()
        for thread in threads:
            thread.join(5)
    spoiled = sum(replica.spoiled_count for replica in parts.replicas)
    result = (
        f"{len(statuses)} requests, {spoiled} answers spoiled, {len(mixed)} clients got"
        " other bytes than those of their answer in a whole 200"
    )
    parts.record(result)
    print(result)
    return 1 if mixed else 0
