"""Replicas truncate some of their answers."""

import random
import threading
from collections import Counter
from itertools import count
from pathlib import Path
from time import sleep

from client import ISSUE, LOOKUP, call
from frame import TROUBLE, CaseError, run_case
from replica import Plain

SERVICE = "wuno96b"
# Share of the answers of a faulty replica that it truncates.
TRUNCATED_SHARE = 0.05
BODY_BYTES = 800
CLIENTS = 27
PAUSE_S = 0.1
SECONDS = 40.0


def seal_of(request_id):
    """Return the seal of the answer to a request."""
    return f"seal-{request_id}"


def body_of(request_id):
    """Return the whole body of the answer to a request."""
    return f"answer to {request_id} ".encode().ljust(BODY_BYTES, b".")


class Truncating(Plain):
    """Replica that ends some answers, and their connections, at a random byte."""

    truncated_share = 0.0

    def __init__(self, *arguments, **options):
        self._rng = random.Random(arguments[2])
        super().__init__(*arguments, **options)

    def handle_call(self, handler, body):
        """Run a request and answer it, as a whole or in part."""
        request_id = handler.request_id
        with self.lock:
            self.runs.append((0.0, request_id, 0))
        sleep(self.work_s)
        data = body_of(request_id)
        answer = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Hibiscusspar-Request-Id: {request_id}\r\n"
            f"X-Hibiscusspar-Response-Seal: {seal_of(request_id)}\r\n"
            "Content-Type: application/octet-stream\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        if self._rng.random() < self.truncated_share:
            answer = answer[: self._rng.randrange(1, len(answer))]
            handler.close_connection = True
            text = f"{len(answer)} bytes of the answer"
            self.record(f"{self.target_id} runs {request_id} and sends {text}")
        handler.wfile.write(answer)


def run(deployment):
    """Run the case and return how the rule was broken."""
    record = deployment.record
    replicas = [
        deployment.add(Truncating, f"i-9e2c04d{i}", SERVICE, zone)
        for i, zone in enumerate(("caerdydd", "abertawe", "wrecsam"))
    ]
    deployment.start_nodes()
    sleep(2.0)
    for replica in replicas[:2]:
        replica.truncated_share = TRUNCATED_SHARE if TROUBLE else 0.0
    stopping, numbers, answers = threading.Event(), count(1), []

    def send(index):
        node = deployment.nodes[index % len(deployment.nodes)]
        while not stopping.is_set():
            number = next(numbers)
            request_id = f"c{index}r{number}"
            if number % 3:
                answer = call(node.front, "POST", ISSUE, request_id, 1.5, body=b"x")
            else:
                answer = call(node.front, "GET", LOOKUP, request_id, 1.5)
            record(f"client gets {answer}")
            answers.append(answer)
            sleep(PAUSE_S)

    threads = [
        threading.Thread(target=send, args=(index,), daemon=True)
        for index in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    sleep(SECONDS)
    stopping.set()
    for thread in threads:
        thread.join(3.0)
    statuses = Counter(answer.status for answer in answers)
    record(f"answers: {statuses}")
    if statuses[200] < len(answers) / 2:
        raise CaseError("most requests weren't served")
    found = []
    for answer in answers:
        if answer.status != 200:
            continue
        seal = answer.headers.get("X-Hibiscusspar-Response-Seal")
        if seal != seal_of(answer.request_id):
            found.append(f"{answer.request_id}: 200 with the seal {seal!r}")
        elif answer.body != body_of(answer.request_id):
            size = len(answer.body)
            found.append(f"{answer.request_id}: 200 with {size} bytes of the body")
    return found


run_case(Path(__file__).parent, run)
