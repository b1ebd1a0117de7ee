"""Report of where requests were lost, from the log lines of nodes."""

from collections import Counter, defaultdict
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

__all__ = ["COLUMNS", "LogReport", "parse_line", "read_report"]

# Outcomes counted in each step of time, in the order of the table.
COLUMNS = ("sent", "in time", "late", "refused", "broken", "loads", "failed loads")
# Statuses of requests that were not allowed, which say nothing about the load.
_NOT_ALLOWED = frozenset({400, 401, 403, 404, 413})
_LOADED = frozenset({"accepted", "done"})


class LogReport(NamedTuple):
    """Counts by step of time and by cause of refusal.

    ``steps`` maps the beginning of each step, in seconds, to a ``Counter`` of
    ``COLUMNS``; ``waits`` maps each status and reason of a refusal to the seconds that
    the refused requests had waited.
    """

    steps: dict[float, Counter]
    waits: dict[tuple[int, str], list[float]]


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
    steps = defaultdict(Counter)
    waits = defaultdict(list)
    for line in lines:
        parsed = parse_line(line)
        column = None if parsed is None else _column(parsed[1])
        if column is None:
            continue
        at, event = parsed
        steps[at // step_s * step_s][column] += 1
        if column == "refused":
            waits[event["status"], event["reason"]].append(event["waited_s"])
    return LogReport(dict(steps), dict(waits))


def _column(event):
    """Return the column that counts an event, or None."""
    match event["message_type"]:
        case "call.sent":
            return "sent"
        case "call.answered":
            return "late" if event["late"] else "in time"
        case "call.refused" if event["status"] not in _NOT_ALLOWED:
            return "refused"
        case "call.broken":
            return "broken"
        case "node.adapter_ordered" if event["operation"] == "load":
            return "loads" if event["result"] in _LOADED else "failed loads"
    return None
