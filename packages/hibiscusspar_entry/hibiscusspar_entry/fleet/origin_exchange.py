"""Exchange of the origins of streams between nodes."""

import threading
from collections import Counter

from msgspec.json import encode as to_json
from xxhash import xxh3_64_hexdigest

from hibiscusspar.fleet.messages import SendNotice, StreamBegan
from hibiscusspar.fleet.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    origin_holders,
)
from hibiscusspar_entry.fleet.address import parse_address

__all__ = ["OriginExchange"]

# Longest wait for the origin of a stream from other nodes, in seconds: some round trips
# between zones and the time until a busy node answers.
_ANSWER_WAIT_S = 0.15
# Streams begun at this node whose origins are kept for the store, the newest ones.
_MAX_BEGUN = 8_000


class OriginExchange:
    """Origins that this node knows, and those that it requests from other nodes.

    Parameters
    ----------
    clock : callable
    peers : PeerTable
    channel : Channel
    """

    def __init__(self, clock, peers, channel):
        self._clock = clock
        self._peers = peers
        self._channel = channel
        self._origins = StreamOrigins()
        self._begun = StreamOrigins(_MAX_BEGUN)
        self._changed = threading.Condition()
        self._begun_counts = Counter()
        # Number of queries sent to other nodes, and of those that found an origin.
        self.query_count = 0
        self.found_count = 0

    @property
    def held_count(self):
        """Number of origins that this node holds."""
        return len(self._origins)

    def announce(self, request_id, origin):
        """Record the origin of a stream here and at the nodes that hold its copies."""
        key = _key(request_id)
        with self._changed:
            self._begun.record(self._clock(), key, origin)
            self._begun_counts[origin.service] += 1
        self._record(key, origin)
        self._send_to_holders(key, SendNotice([], began=[_row(key, origin)]))

    def find(self, request_id):
        """Return the origin of a stream, or None if no node tells it in time."""
        key = _key(request_id)
        origin = self._find_here(key)
        if origin is not None:
            return origin
        self.query_count += 1
        self._send_to_holders(key, SendNotice([], asked=[key]))
        ends_at = self._clock() + _ANSWER_WAIT_S
        with self._changed:
            while (origin := self._origins.find(self._clock(), key)) is None:
                remaining_s = ends_at - self._clock()
                if remaining_s <= 0:
                    return None
                self._changed.wait(remaining_s)
        self.found_count += 1
        return origin

    def begun_counts(self, services):
        """Return the number of streams that began here, by service."""
        with self._changed:
            return {service: self._begun_counts[service] for service in services}

    def begun_rows(self):
        """Return the keys and origins of the streams that began here lately."""
        with self._changed:
            return self._begun.rows(self._clock())

    def restore(self, rows, began_here):
        """Add origins that the processes before have recorded.

        Parameters
        ----------
        rows : list of tuple of (str, StreamOrigin)
            Keys and origins, the oldest first.
        began_here : bool
            Whether the streams began at this node.
        """
        with self._changed:
            now = self._clock()
            for key, origin in rows:
                self._origins.record(now, key, origin)
                if began_here:
                    self._begun.record(now, key, origin)
            self._changed.notify_all()

    def apply_notice(self, notice, address):
        """Record the origins of a notice, and answer with those that it asks for."""
        for row in notice.began:
            self._record(row.stream, StreamOrigin(row.service, row.software))
        known = [(name, self._find_here(name)) for name in notice.asked]
        rows = [_row(name, origin) for name, origin in known if origin is not None]
        if rows:
            self._channel.send(address, SendNotice([], began=rows))

    def _find_here(self, key):
        with self._changed:
            return self._origins.find(self._clock(), key)

    def _record(self, key, origin):
        with self._changed:
            self._origins.record(self._clock(), key, origin)
            self._changed.notify_all()

    def _send_to_holders(self, key, notice):
        body = to_json(notice)
        addresses = self._peers.addresses
        for name in origin_holders(key, addresses):
            self._channel.send(parse_address(addresses[name]), body)


def _key(request_id):
    """Return the key of a stream; ids are chosen by callers and may be long."""
    return xxh3_64_hexdigest(request_id.encode())


def _row(key, origin):
    return StreamBegan(key, origin.service, origin.software)
