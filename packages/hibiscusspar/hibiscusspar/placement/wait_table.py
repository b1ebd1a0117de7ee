"""Table of the requests waiting on this node and the targets asked for them."""

__all__ = ["WaitRow", "WaitTable"]

WAIT_TTL_S = 60.0


class WaitRow:
    """Requests for one label of one service that wait for a grant.

    ``asked`` maps each target asked to the time of asking. ``barred`` maps each
    target on which a load failed to the time from which it may be asked again.
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
        """Time at which the oldest request began to wait; None if there is none."""
        return min(self.requests.values(), default=None)

    def share_of(self, target):
        """Return how many of the waiting requests a target is asked for.

        The requests are split evenly over the targets asked.
        """
        if target not in self.asked:
            return 0
        return -(-self.count // len(self.asked))


class WaitTable:
    """Waiting requests by (service, label), with an index by label."""

    def __init__(self):
        self.rows = {}
        self.pending = {}
        self._keys = {}
        self._by_label = {}

    def add(self, now, key, request_id):
        """Add a waiting request and return its row."""
        row = self.ensure(key)
        row.requests.setdefault(request_id, now)
        self._keys[request_id] = key
        return row

    def ensure(self, key):
        """Return the row of a (service, label), creating it if necessary."""
        row = self.rows.get(key)
        if row is None:
            row = self.rows[key] = WaitRow()
            self._by_label.setdefault(key[1], {})[key] = None
        return row

    def remove(self, request_id):
        """Remove a request; return its (service, label), or None if it didn't wait."""
        key = self._keys.pop(request_id, None)
        if key is not None:
            row = self.rows[key]
            del row.requests[request_id]
        return key

    def remove_if_empty(self, key):
        """Remove the row if nothing waits; return the targets that were asked."""
        row = self.rows.get(key)
        if row is None or row.count:
            return ()
        del self.rows[key]
        keys = self._by_label[key[1]]
        del keys[key]
        if not keys:
            del self._by_label[key[1]]
        for target in row.asked:
            self._change_pending(target, -1)
        return tuple(row.asked)

    def record_ask(self, now, row, target):
        """Record that a target was asked for a row."""
        if target not in row.asked:
            self._change_pending(target, 1)
        row.asked[target] = now

    def cancel_ask(self, row, target):
        """Record that a target is no longer asked."""
        if row.asked.pop(target, None) is not None:
            self._change_pending(target, -1)

    def waiting_for(self, target, label):
        """Return the number of requests for a label that a target is asked for."""
        keys = self._by_label.get(label, ())
        return sum(self.rows[key].share_of(target) for key in keys)

    def keys_of_label(self, label):
        """Return the keys of all rows of a label."""
        return self._by_label.get(label, ())

    def expire(self, now):
        """Remove requests that waited longer than ``WAIT_TTL_S``; return their keys.

        Guards against requests that the driver abandoned without finishing them.
        """
        old = [
            request_id
            for row in self.rows.values()
            for request_id, since in row.requests.items()
            if now - since > WAIT_TTL_S
        ]
        return {self.remove(request_id): None for request_id in old}

    def _change_pending(self, target, step):
        count = self.pending.get(target, 0) + step
        if count:
            self.pending[target] = count
        else:
            self.pending.pop(target, None)
