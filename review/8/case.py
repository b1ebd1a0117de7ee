"""Calls that ran at a failing replica and are answered as if they had not run."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from clients import Call, send
from deployment import TROUBLE, config, deployment, route
from replicas import Replica

KEY = "k-acme-1"
OPERATIONS = 120
# Share of its requests that the failing replica fails, and for how long in seconds.
FAILED_SHARE, FAILS_S = 0.4, 6.5
PROMISES = (408, 421, 429, 503)


class FailingReplica(Replica):
    """Replica that runs each request and fails a part of them while ``fails``.

    It doesn't state that it did not run them, as it did.
    """

    fails = False

    def run(self, sock, request_id, method, path, headers, body):
        """Run a request; return whether the connection is kept."""
        if not self.fails or random.random() >= FAILED_SHARE:
            return super().run(sock, request_id, method, path, headers, body)
        time.sleep(self.work_s)
        self._record(f"replica {self.name} ran {request_id} and answers 503")
        text = b"the database failed after the number was issued"
        return self.send_whole(sock, 503, text, self.seal(request_id))


def issue(number, parts, statuses):
    """Issue a number, once more after a promise that it did not run."""
    ends_at = time.monotonic() + 1.5
    for attempt in range(2):
        request_id = f"op{number:03d}-{attempt}"
        left_ms = int(1000 * (ends_at - time.monotonic()))
        if left_ms <= 0:
            return
        path, body = f"/issue/{number}", b'{"charge": %d}' % number
        call = Call(request_id, "POST", path, KEY, left_ms, body)
        node = parts.nodes[(number + attempt) % len(parts.nodes)]
        parts.record(f"sent {request_id} to {node.name}")
        answer = send(node.front, call)
        statuses[request_id] = answer.status
        seal = answer.headers.get("x-hibiscusspar-response-seal", "none")
        parts.record(f"answered {request_id} {answer.status} seal {seal}")
        if answer.status not in PROMISES:
            return
        wait_s = float(answer.headers.get("retry-after", 0.05))
        time.sleep(min(wait_s, max(0.0, (ends_at - time.monotonic()) / 3)))


def main():
    """Run the case; return 1 if the rule was broken."""
    routes = [route("r-issue", "/issue/", "unsafe", "cert-registry")]
    content = config(routes, "cert-registry", {"acme": KEY})
    statuses, threads = {}, []
    with deployment(__file__, content, FailingReplica) as parts:
        failing = parts.replicas[0]
        failing.fails = TROUBLE
        for number in range(OPERATIONS):
            threads.append(
                threading.Thread(
                    target=issue, args=(number, parts, statuses), daemon=True
                )
            )
            threads[-1].start()
            time.sleep(FAILS_S / OPERATIONS)
        failing.fails = False
        for thread in threads:
            thread.join(5)
    ran = [row[1] for replica in parts.replicas for row in replica.runs]
    false = sorted(
        i for i, status in statuses.items() if status in PROMISES and i in ran
    )
    operations = [request_id.partition("-")[0] for request_id in ran]
    twice = sorted({name for name in operations if operations.count(name) > 1})
    parts.record(f"answered with a promise although they ran: {false}")
    parts.record(f"operations that ran twice, as their clients believed it: {twice}")
    print(
        f"{len(false)} calls ran and were answered with a promise that they had not;"
        f" {len(twice)} operations ran twice"
    )
    return 1 if false else 0


sys.exit(main())
