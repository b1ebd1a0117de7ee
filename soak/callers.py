"""Callers with persistent connections that check each answer."""

import threading
from http.client import HTTPConnection, HTTPException
from random import Random
from time import monotonic, sleep
from typing import NamedTuple

from hibiscusspar_platform.tests.engine_stand_in import EVENT_COUNT
from soak.deployment import MODEL
from soak.idle_limits import KEPT_SHARE, NOTICE_S

__all__ = ["Caller", "Outcome"]

_ADAPTERS = 9
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class Outcome(NamedTuple):
    """Outcome of one request; ``status`` is 0 if there was no whole answer."""

    request_id: str
    sent_at: float
    key: str
    status: int
    retryable: bool
    ended_at: float
    has_head: bool
    # Seconds for which the connection was idle, and the limit that the caller knew when
    # it became idle; None for a new connection.
    idle_s: float
    idle_limit: object


class Caller(threading.Thread):
    """Thread that sends requests to one node.

    Parameters
    ----------
    name : str
    fronts : list of tuple of (str, int)
        IP and port of each node. Requests go to the first one; a broken stream is taken
        up again at any of them.
    seed : int
    choose_key : callable
        Returns a key to use.
    started_at : float
        Start of the run on the monotonic clock.
    idle_limits : IdleLimits, optional
    keeps_idle : bool
        Whether connections stay idle for most of the time that the limit allows.
    """

    def __init__(
        self,
        name,
        fronts,
        seed,
        choose_key,
        started_at,
        idle_limits=None,
        keeps_idle=False,
    ):
        super().__init__(name=name, daemon=True)
        self._fronts = fronts
        self._rng = Random(seed)
        self._notice_rng = Random(f"notice/{seed}")
        self._choose_key = choose_key
        self._started_at = started_at
        self._idle_limits = idle_limits
        self._keeps_idle = keeps_idle
        self._connection = None
        self._idle_since = self._idle_limit = None
        self._has_head = False
        self.stopping = threading.Event()
        self.outcomes = []
        self.violations = []
        # Broken streams, and those of them that went on.
        self.broken_count = 0
        self.continued_count = 0

    def run(self):
        """Send requests one at a time until ``stopping`` is set."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            status = self.call(f"{self.name}-{number}")
            if self._keeps_idle and self._connection is not None:
                share = self._rng.uniform(0.3, 0.97 * KEPT_SHARE)
                self.stopping.wait(share * self._idle_limit.seconds)
            else:
                sleep(0.2 if status == 0 else self._rng.uniform(0.0, 0.05))

    def call(self, request_id):
        """Send one request, check its answer and return its status."""
        key = self._choose_key()
        route = self._rng.choice(("draft", "once"))
        sent_at = monotonic() - self._started_at
        limit, idle_s = self._idle_limit, 0.0
        if limit is not None:
            idle_s = sent_at + self._started_at - self._idle_since
        self._has_head = False
        try:
            status = self._send_request(request_id, key, route)
        except (OSError, HTTPException):
            self._close()
            status = 0
        self.outcomes.append(
            Outcome(
                request_id,
                sent_at,
                key,
                status,
                route == "draft",
                monotonic() - self._started_at,
                self._has_head,
                idle_s,
                limit,
            )
        )
        return status

    def _send_request(self, request_id, key, route):
        if self._connection is None:
            self._connection = HTTPConnection(*self._fronts[0], timeout=9)
        adapter = f"a{min(self._rng.randrange(_ADAPTERS), self._rng.randrange(9))}"
        headers = {
            "Host": "h.example",
            "Authorization": f"Bearer {key}",
            "X-Hibiscusspar-Request-Id": request_id,
            "X-Hibiscusspar-Model": f"{MODEL}/{adapter}",
            "X-Hibiscusspar-Token-Count": "100,10",
            "X-Hibiscusspar-Prompt-Prefix": f"system:50,{adapter}:30,{request_id}:20",
            "X-Hibiscusspar-Deadline-Ms": "6000",
        }
        self._connection.request("POST", f"/{route}/x", request_id.encode(), headers)
        response = self._connection.getresponse()
        self._has_head = True
        body = b""
        try:
            while data := response.read1():
                body += data
        except (OSError, HTTPException):
            if response.status == 200 and route == "draft":
                self._take_up(request_id, headers, _events(body))
            raise
        # read1 doesn't end an answer with a length, and a connection isn't ready for
        # another request before.
        response.close()
        if response.status == 200:
            self._check(request_id, response, _events(body))
        if response.will_close:
            self._close()
        elif self._idle_limits is not None:
            self._idle_since = monotonic()
            known_at = self._idle_since - self._notice_rng.uniform(0.0, NOTICE_S)
            self._idle_limit = self._idle_limits.known(known_at)
        return response.status

    def _take_up(self, request_id, headers, events):
        """Take up a broken stream at some node and check that it fits together."""
        if not events:
            return
        self.broken_count += 1
        connection = HTTPConnection(*self._rng.choice(self._fronts), timeout=9)
        new_headers = {
            "X-Hibiscusspar-Request-Id": f"{request_id}-again",
            "Resumes": request_id,
            "Last-Event-Id": str(len(events)),
        }
        try:
            connection.request(
                "POST", "/draft/x", request_id.encode(), {**headers, **new_headers}
            )
            response = connection.getresponse()
            body = response.read()
        finally:
            connection.close()
        if response.status == 200:
            self.continued_count += 1
            self._check(request_id, response, events + _events(body))

    def _check(self, request_id, response, events):
        numbers = [event.partition("\n")[0] for event in events]
        if numbers != [f"id: {n}" for n in range(1, EVENT_COUNT + 1)]:
            self.violations.append(f"{request_id}: wrong or incomplete answer {events}")
        parts = [event.rpartition("data: ")[2].split(" ") for event in events]
        ids = {name.removesuffix("-again") for name, *_ in parts}
        if ids != {request_id}:
            self.violations.append(f"{request_id}: events of other requests {events}")
        if len({software for *_, software in parts}) > 1:
            self.violations.append(f"{request_id}: events of two versions {events}")
        if response.headers.get("X-Hibiscusspar-Response-Seal") != "seal":
            self.violations.append(f"{request_id}: answer without its seal")

    def _close(self):
        self._idle_limit = None
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _events(body):
    """Return the complete events of a body."""
    return body.decode().split("\n\n")[:-1]


def guarantees_not_run(outcome):
    """Return whether the status guarantees that the request has not run."""
    return outcome.status in _NOT_RUN_STATUSES
