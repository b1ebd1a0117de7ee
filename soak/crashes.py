"""Requests that crash engines, and the check that nodes stop sending them."""

import threading
from http.client import HTTPConnection, HTTPException
from random import Random
from typing import NamedTuple

from soak.deployment import MODEL

__all__ = [
    "BODY",
    "FATAL_BODY",
    "FATAL_PART",
    "PART",
    "Disturbance",
    "FatalCaller",
    "FatalKind",
    "crash_violations",
]

# Bounds of the platform: a stable window after a number of crashes, this many requests
# may still reach engines, sent by nodes that weren't disturbed for a stable window.
_STABLE_WINDOW_S = 3.0
_MAX_LATER_REQUESTS = 3
FATAL_BODY = b"fatal"
FATAL_PART = "bad"


class FatalKind(NamedTuple):
    """Kind of fatal requests, and the crashes after which nodes must know it."""

    name: str
    crashes: int


BODY = FatalKind("body", 3)
PART = FatalKind("part", 5)


class Disturbance(NamedTuple):
    """Time in which a node, or all nodes if it is None, had a fault."""

    node: int | None
    begins_at: float
    ends_at: float


class FatalCaller(threading.Thread):
    """Thread that sends fatal requests of one kind to random nodes.

    Parameters
    ----------
    kind : FatalKind
    nodes : list of Node
    seed : int
    """

    def __init__(self, kind, nodes, seed):
        super().__init__(daemon=True)
        self._kind = kind
        self._nodes = nodes
        self._rng = Random(f"{kind.name}/{seed}")
        self.stopping = threading.Event()
        # Number of requests that got each status, 0 for none.
        self.statuses = {}

    def run(self):
        """Send requests one at a time until ``stopping`` is set."""
        number = 0
        while not self.stopping.wait(self._rng.uniform(0.05, 0.4)):
            number += 1
            node = self._rng.choice(self._nodes)
            request_id = f"{_prefix(self._kind)}{node.number}-{number}"
            status = self._send(node, request_id)
            self.statuses[status] = self.statuses.get(status, 0) + 1

    def _send(self, node, request_id):
        body, part = FATAL_BODY, "good"
        if self._kind is PART:
            body, part = request_id.encode(), FATAL_PART
        headers = {
            "Host": "h.example",
            "Authorization": "Bearer k0",
            "X-Hibiscusspar-Request-Id": request_id,
            "X-Hibiscusspar-Model": MODEL,
            "X-Hibiscusspar-Token-Count": "100,10",
            "X-Hibiscusspar-Prompt-Prefix": f"system:50,{part}:30,{request_id}:20",
            "X-Hibiscusspar-Deadline-Ms": "3000",
        }
        connection = HTTPConnection(*node.front, timeout=4)
        try:
            connection.request("POST", "/draft/x", body, headers)
            response = connection.getresponse()
            response.read()
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()
        return response.status


def crash_violations(kind, engines, disturbances):
    """Return a line if nodes sent requests of a fatal kind too often.

    Parameters
    ----------
    kind : FatalKind
    engines : list of EngineStandIn
    disturbances : list of Disturbance
    """
    prefix = _prefix(kind)
    crashes = sorted(
        at
        for engine in engines
        for at, request_id in engine.crashed_by
        if request_id.startswith(prefix)
    )
    if len(crashes) < kind.crashes:
        return []
    known_at = crashes[kind.crashes - 1] + _STABLE_WINDOW_S
    late = [
        (round(at - known_at, 2), request_id)
        for engine in engines
        for at, request_id in zip(engine.arrivals, engine.arrived_ids, strict=False)
        if request_id.startswith(prefix)
        and at > known_at
        and not _is_disturbed(request_id, prefix, at, disturbances)
    ]
    if len(late) <= _MAX_LATER_REQUESTS:
        return []
    return [f"{kind.name}: {len(crashes)} crashes, {len(late)} later: {late[:8]}"]


def _prefix(kind):
    return f"fatal-{kind.name}-"


def _is_disturbed(request_id, prefix, at, disturbances):
    node = int(request_id.removeprefix(prefix).partition("-")[0])
    return any(
        row.node in (None, node)
        and row.begins_at <= at <= row.ends_at + _STABLE_WINDOW_S
        for row in disturbances
    )
