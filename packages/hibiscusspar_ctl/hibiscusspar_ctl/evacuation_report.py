"""Report of evacuated zones, from the log lines of nodes."""

from typing import NamedTuple

from hibiscusspar_ctl.log_report import parse_line

__all__ = ["Evacuation", "NodeEvacuation", "read_evacuations"]


class NodeEvacuation(NamedTuple):
    """Evacuation as one node knew it; times in seconds.

    ``source`` is the store or the node whose view told. Times are None for what the
    logs don't tell: ``learned_at`` of a node that only sent requests to the zone,
    ``returned_at``, and ``last_sent_at``, the last request to the zone until then.
    """

    node: str
    learned_at: float | None
    source: str
    returned_at: float | None
    last_sent_at: float | None


class Evacuation(NamedTuple):
    """Evacuation of a zone, with the nodes in the order in which they learned of it."""

    zone: str
    begins_at: float
    nodes: list[NodeEvacuation]


class _Line(NamedTuple):
    """Log line: its time, node and event."""

    at: float
    node: str
    event: dict

    @property
    def kind(self):
        """Name of the event."""
        return self.event["message_type"]


def read_evacuations(lines):
    """Return the evacuations that log lines tell of, in the order of their begin.

    Parameters
    ----------
    lines : iterable of str
        Lines of several nodes in any order.

    Returns
    -------
    list of Evacuation
    """
    known = sorted(filter(None, map(_parse, lines)), key=lambda line: line.at)
    zones = {
        line.event["target"]: line.event["target_zone"]
        for line in known
        if line.kind == "node.target"
    }
    sends = _sends(known, zones)
    evacuations = []
    for zone, row in _node_rows(known):
        for found in reversed(evacuations):
            if found.zone == zone and _overlaps(found, row):
                found.nodes.append(row)
                break
        else:
            evacuations.append(Evacuation(zone, row.learned_at, [row]))
    return [found._replace(nodes=_with_sends(found, sends)) for found in evacuations]


def _parse(line):
    parsed = parse_line(line)
    if parsed is None:
        return None
    at, event = parsed
    # The users' bench prints the time and the node before the line.
    head = line.partition("{")[0].split()
    return _Line(at, event.get("vm") or "".join(head[1:2]), event)


def _node_rows(lines):
    """Return zone and ``NodeEvacuation`` of each evacuation at each node."""
    rows, open_rows = [], {}
    for line in lines:
        if line.kind not in ("node.zone_evacuated", "node.zone_returned"):
            continue
        key = (line.event["zone"], line.node)
        index = open_rows.get(key)
        if line.kind == "node.zone_returned":
            if index is not None:
                zone, row = rows[open_rows.pop(key)]
                rows[index] = (zone, row._replace(returned_at=line.at))
        elif index is None:
            open_rows[key] = len(rows)
            source = line.event["source"]
            row = NodeEvacuation(line.node, line.at, source, None, None)
            rows.append((key[0], row))
    return rows


def _overlaps(evacuation, row):
    """Return whether a row belongs to an evacuation that other nodes know."""
    ends = [known.returned_at for known in evacuation.nodes]
    is_open = any(end is None or end > row.learned_at for end in ends)
    return is_open and all(known.node != row.node for known in evacuation.nodes)


def _sends(lines, zones):
    """Return the times of the requests that each node sent to each zone."""
    unsent = {
        (line.node, line.event["request"], line.event["attempt"])
        for line in lines
        if line.kind == "call.target_failed" and line.event["step"] == "closed"
    }
    sends = {}
    for line in lines:
        event = line.event
        if line.kind == "call.sent":
            attempt = (line.node, event["request"], event["attempt"])
            is_sent, at = attempt not in unsent, line.at
        elif line.kind == "call.sent_for_peer":
            # The line is written at the end of the request.
            is_sent, at = event["status"], line.at - event["seconds"]
        else:
            continue
        zone = zones.get(event.get("target"))
        if is_sent and zone is not None:
            sends.setdefault(zone, {}).setdefault(line.node, []).append(at)
    return sends


def _with_sends(evacuation, sends):
    """Return the rows of an evacuation with the last request of each node."""
    times = sends.get(evacuation.zone, {})
    ends = [row.returned_at for row in evacuation.nodes]
    ends_at = float("inf") if None in ends else max(ends)
    rows = []
    for row in evacuation.nodes:
        until = ends_at if row.returned_at is None else row.returned_at
        sent = [at for at in times.get(row.node, ()) if at < until]
        rows.append(row._replace(last_sent_at=max(sent, default=None)))
    for node in sorted(times.keys() - {row.node for row in rows}):
        sent = [at for at in times[node] if evacuation.begins_at < at < ends_at]
        if sent:
            rows.append(NodeEvacuation(node, None, "", None, max(sent)))
    return rows
