"""Report of where requests were lost, from the log lines of nodes."""

from collections import Counter, defaultdict
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

__all__ = ["COLUMNS", "LogReport", "parse_line", "read_report"]

# Outcomes counted in each step of time, in the order of the table. An answer is late if
# its first byte was, and paused if that was in time but a pause of its stream too long.
COLUMNS = (
    "sent",
    "in time",
    "late",
    "paused",
    "refused",
    "broken",
    "loads",
    "failed loads",
)
# Statuses of requests that were not allowed, which say nothing about the load.
_NOT_ALLOWED = frozenset({400, 401, 403, 404, 413})
_LOADED = frozenset({"accepted", "done"})


class LogReport(NamedTuple):
    """Counts by step of time and by cause of refusal.

    ``steps`` maps the beginning of each step, in seconds, to a ``Counter`` of
    ``COLUMNS``, ``route_steps`` the beginning and the name of a route. ``waits`` maps
    each status and reason of a refusal to the seconds that the refused requests had
    waited, ``broken`` each status and reason of a request without a whole answer to
    their number.
    """

    steps: dict[float, Counter]
    waits: dict[tuple[int, str], list[float]]
    route_steps: dict[tuple[float, str], Counter]
    broken: Counter


def parse_line(line):
    """Return the time in seconds and the event of a line, or None if it has none.

    A line is a JSON object, possibly behind a time and the name of its node, as the
    users' bench prints them. Without such a time the timestamp of the object counts.
    """
    head, brace, rest = line.partition("{")
    if not brace:
        return None
    try:
        event = decode(brace + rest)
        words = head.split()
        at = float(words[0]) if words else float(event["timestamp"])
    except (DecodeError, KeyError, ValueError):
        return None
    return (at, event) if "message_type" in event else None


def read_report(lines, step_s):
    """Count what became of requests and of loads of adapters.

    Parameters
    ----------
    lines : iterable of str
    step_s : float

    Returns
    -------
    LogReport
    """
    steps, route_steps = defaultdict(Counter), defaultdict(Counter)
    waits, broken = defaultdict(list), Counter()
    counted = []
    # Only the lines of refusals and of sent requests name the route.
    routes = {}
    for line in lines:
        parsed = parse_line(line)
        column = None if parsed is None else _column(parsed[1])
        if column is None:
            continue
        at, event = parsed
        step = at // step_s * step_s
        steps[step][column] += 1
        request = event.get("request")
        if event.get("route"):
            routes[request] = event["route"]
        if request is not None:
            counted.append((step, request, column))
        if column == "refused":
            waits[event["status"], event["reason"]].append(event["waited_s"])
        elif column == "broken":
            broken[event.get("status", 0), event.get("reason", "")] += 1
    for step, request, column in counted:
        route_steps[step, routes.get(request, "")][column] += 1
    return LogReport(dict(steps), dict(waits), dict(route_steps), broken)


def _column(event):
    """Return the column that counts an event, or None."""
    match event["message_type"]:
        case "call.sent":
            return "sent"
        case "call.answered":
            if event["late"]:
                return "late"
            return "paused" if event.get("paused") else "in time"
        case "call.refused" if event["status"] not in _NOT_ALLOWED:
            return "refused"
        case "call.broken":
            return "broken"
        case "node.adapter_ordered" if event["operation"] == "load":
            return "loads" if event["result"] in _LOADED else "failed loads"
    return None
