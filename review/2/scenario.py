"""A replica sends a second copy of a refusal, late."""

import random
import threading
from collections import Counter
from itertools import count
from pathlib import Path
from time import monotonic, sleep

from client import ISSUE, call
from frame import TROUBLE, run_case
from replica import Plain

# Shares of the requests that a replica turns away, and of its answers that it repeats.
SHED_SHARE = 0.45
EXTRA_SHARE = 0.05
# A replica turns requests away for the first seconds of each period.
SHED_S, PERIOD_S = 2.0, 9.0
SECONDS = 98.0
CLIENTS = 72
PAUSE_S = 0.15


class Shedding(Plain):
    """Replica that turns requests away and sends some answers twice."""

    extra_share = 0.0
    work_s = 0.03

    def __init__(self, *arguments, **options):
        self._rng = random.Random(f"{arguments[2]}")
        super().__init__(*arguments, **options)

    def handle_call(self, handler, body):
        """Run a request or turn it away."""
        request_id = handler.request_id
        extra = getattr(handler, "extra", b"")
        handler.extra = b""
        if extra:
            # The second copy arrives where the next answer is expected.
            handler.wfile.write(extra)
            text = "that request" if request_id.encode() in extra else "another one"
            self.record(f"{self.target_id} repeats a refusal on {request_id}: {text}")
        is_full = monotonic() % PERIOD_S < SHED_S
        if not is_full or self._rng.random() >= SHED_SHARE:
            super().handle_call(handler, body)
            return
        self.record(f"{self.target_id} turns {request_id} away")
        handler.refuse(503)
        if self._rng.random() < self.extra_share:
            handler.extra = (
                "HTTP/1.1 503 Service Unavailable\r\n"
                f"X-Hibiscusspar-Request-Id: {request_id}\r\n"
                "X-Hibiscusspar-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()


def run(deployment):
    """Run the case and return how the rule was broken."""
    record = deployment.record
    replicas = [
        deployment.add(Shedding, f"i-9e2c04d{i}", "wuno96b", zone)
        for i, zone in enumerate(("caerdydd", "abertawe", "wrecsam"))
    ]
    deployment.start_nodes()
    sleep(3.0)
    for replica in replicas[:2]:
        replica.extra_share = EXTRA_SHARE if TROUBLE else 0.0
    stopping, numbers = threading.Event(), count(1)
    answers, threads = [], []

    def send(index):
        node = deployment.nodes[index % len(deployment.nodes)]
        while not stopping.is_set():
            request_id = f"c{index}r{next(numbers)}"
            answer = call(node.front, "POST", ISSUE, request_id, 1.5, body=b"x" * 600)
            record(f"client gets {answer}")
            answers.append(answer)
            sleep(PAUSE_S)

    for index in range(CLIENTS):
        thread = threading.Thread(target=send, args=(index,), daemon=True)
        thread.start()
        threads.append(thread)
    sleep(SECONDS)
    stopping.set()
    for thread in threads:
        thread.join(3.0)
    runs = Counter(row[1] for replica in replicas for row in replica.runs)
    record(f"answers: {Counter(a.status for a in answers)}, runs: {len(runs)}")
    found = [f"TWICE: {i} ran {n} times" for i, n in runs.items() if n > 1]
    return found + [
        f"REFUSED: {a.request_id} was answered {a.status} and ran"
        for a in answers
        if a.status in (408, 421, 429, 503) and runs[a.request_id]
    ]


run_case(Path(__file__).parent, run)
