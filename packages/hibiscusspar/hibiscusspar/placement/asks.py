"""Requests that wait on this node and the targets asked on their behalf."""

__all__ = ["Waiting", "WaitTable"]

WAIT_TTL_S = 60.0


class Waiting:
    """Requests of one label of one service that wait for a grant.

    ``asked`` maps each target asked to the time of asking, ``barred`` a target whose
    load failed to the time after which it may be asked again.
    """

    __slots__ = ("asked", "barred", "requests", "tokens")

    def __init__(self):
        self.requests = {}
        self.tokens = 0
        self.asked = {}
        self.barred = {}

    @property
    def count(self):
        """Number of requests, at least one if only tokens are known to wait."""
        return len(self.requests) or (1 if self.tokens else 0)

    @property
    def since(self):
        """When the first of the requests began to wait; None if there is none."""
        return min(self.requests.values(), default=None)

    def part(self, target):
        """Return the waiting requests for which a target is asked."""
        if target not in self.asked:
            return 0
        return -(-self.count // len(self.asked))


class WaitTable:
    """Waiting requests by (service, label)."""

    def __init__(self):
        self.rows = {}
        self.pending = {}
        self._keys = {}
        self._by_label = {}

    def add(self, now, key, request_id):
        """Note a request that waits and return its row."""
        row = self.ensure(key)
        row.requests.setdefault(request_id, now)
        self._keys[request_id] = key
        return row

    def ensure(self, key):
        """Return the row of a (service, label), making it if there is none."""
        row = self.rows.get(key)
        if row is None:
            row = self.rows[key] = Waiting()
            self._by_label.setdefault(key[1], {})[key] = None
        return row

    def done(self, request_id):
        """Forget a request; return its (service, label) or None if it didn't wait."""
        key = self._keys.pop(request_id, None)
        if key is not None:
            row = self.rows[key]
            del row.requests[request_id]
        return key

    def settle(self, key):
        """Drop the row if nothing waits; return the targets that were asked."""
        row = self.rows.get(key)
        if row is None or row.count:
            return ()
        del self.rows[key]
        keys = self._by_label[key[1]]
        del keys[key]
        if not keys:
            del self._by_label[key[1]]
        for target in row.asked:
            self._count(target, -1)
        return tuple(row.asked)

    def ask(self, now, row, target):
        """Note that a target was asked for a row."""
        if target not in row.asked:
            self._count(target, 1)
        row.asked[target] = now

    def unask(self, row, target):
        """Note that a target isn't asked any more."""
        if row.asked.pop(target, None) is not None:
            self._count(target, -1)

    def waiting_for(self, target, label):
        """Return the number of requests for which a target is asked for a label."""
        keys = self._by_label.get(label, ())
        return sum(self.rows[key].part(target) for key in keys)

    def of_label(self, label):
        """Return the keys of all rows of a label."""
        return self._by_label.get(label, ())

    def expire(self, now):
        """Forget requests that the driver never mentioned again; return their keys."""
        old = [
            request_id
            for row in self.rows.values()
            for request_id, since in row.requests.items()
            if now - since > WAIT_TTL_S
        ]
        return {self.done(request_id): None for request_id in old}

    def _count(self, target, step):
        count = self.pending.get(target, 0) + step
        if count:
            self.pending[target] = count
        else:
            self.pending.pop(target, None)
