"""Another writer leaves an entry with a field of another type among the replicas."""

import threading
from collections import Counter
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from time import monotonic, sleep

from client import DRAFT, request_headers, stream_headers
from frame import TROUBLE, CaseError, run_case
from replica import Engine

SERVICE = "huvo11a"
CLIENTS_PER_NODE = 8
DEADLINE_S = 10.0
# Nesting of the list that stands where a text is due; the entry has 2 KB.
DEPTH = 960
# Answers that a machine in touch may leave out, and ends of a process by itself.
MAX_LOST, MAX_ENDS = 3, 2
SECONDS = 10.0


class Client(threading.Thread):
    """Client that sends one request after the other on a kept connection.

    ``lost`` holds the requests from a kept connection that was closed without a byte of
    an answer.
    """

    def __init__(self, node, name, record, stopping):
        super().__init__(daemon=True)
        self.node = node
        self.lost = []
        self.answered = 0
        self._name = name
        self._record = record
        self._stopping = stopping

    def run(self):
        """Send requests until the end of the case."""
        connection, is_kept = None, False
        for number in count(1):
            if self._stopping.is_set():
                return
            request_id = f"{self._name}r{number}"
            if connection is None:
                connection = HTTPConnection(*self.node.front, timeout=DEADLINE_S)
                is_kept = False
            headers = request_headers(request_id, DEADLINE_S)
            headers |= stream_headers(tokens="60,20")
            has_head = False
            sent_at = monotonic()
            try:
                connection.request("POST", DRAFT, b"x" * 100, headers)
                response = connection.getresponse()
                has_head = True
                response.read()
                self.answered += response.status == 200
                is_kept = True
                self._record(f"client gets {request_id}: {response.status}")
            except (OSError, HTTPException) as error:
                self._record(f"client gets {request_id}: {error!r}")
                is_late = isinstance(error, TimeoutError)
                if is_kept and not has_head and not is_late:
                    self.lost.append((sent_at, request_id))
                connection.close()
                connection = None
                sleep(0.3)


def run(deployment):
    """Run the case and return how the rule was broken."""
    record = deployment.record
    engines = [
        deployment.add(Engine, f"i-7f3a91c{i}", SERVICE, zone)
        for i, zone in enumerate(("caerdydd", "abertawe", "wrecsam") * 2)
    ]
    for engine in engines:
        engine.first_s, engine.gap_s = 0.4, 0.01
    deployment.start_nodes()
    stopping = threading.Event()
    clients = [
        Client(node, f"n{n}c{c}", record, stopping)
        for n, node in enumerate(deployment.nodes)
        for c in range(CLIENTS_PER_NODE)
    ]
    sleep(2.0)
    for client in clients:
        client.start()
    sleep(4.0)
    if not all(client.answered for client in clients):
        raise CaseError("not all clients are served")
    if TROUBLE:
        value = []
        for _ in range(DEPTH):
            value = [value]
        deployment.store.put("servers", "x-unknown", {"service": value})
        record("another writer has written an entry with a field of another type")
    sleep(SECONDS)
    stopping.set()
    sleep(0.5)
    arrived = {request_id for engine in engines for _, request_id in engine.arrivals}
    lost = Counter()
    for client in clients:
        lost[client.node.name] += sum(i in arrived for _, i in client.lost)
    ends = {node.name: node.starts - 1 for node in deployment.nodes}
    record(f"passed on and not answered, by machine: {dict(lost)}")
    record(f"ends of processes by themselves, by machine: {ends}")
    return [f"LOST: {n} at {name}" for name, n in lost.items() if n > MAX_LOST] + [
        f"Fault: {n} ends at {name}" for name, n in ends.items() if n > MAX_ENDS
    ]


run_case(Path(__file__).parent, run)
