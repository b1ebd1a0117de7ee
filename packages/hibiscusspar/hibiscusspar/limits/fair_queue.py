"""Fair queue of waiting requests, over accounts and then over adapters.

Accounts take turns by deficit round robin, counted in tokens. An account serves
one adapter until no request of it waits or ``ADAPTER_RUN_TOKENS`` were served, so
that requests of one adapter run together without starving the others.

References
----------
Shreedhar and Varghese, Efficient Fair Queuing Using Deficit Round Robin, 1995.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

__all__ = ["FairQueue", "QueueRefusal", "QueuedRequest"]

QUANTUM_TOKENS = 512.0
ADAPTER_RUN_TOKENS = 4096.0
MAX_WAITING_PER_ACCOUNT = 256
MIN_RETRY_AFTER_S = 0.05
RATE_HALF_LIFE_S = 2.0


class QueuedRequest(NamedTuple):
    """Queued request; ``deadline`` is the latest time to start it."""

    request_id: str
    account: str
    adapter: str
    tokens: float
    deadline: float


class QueueRefusal(NamedTuple):
    """Reason why a request was not queued; it did not run.

    ``reason`` is ``"queue-full"`` or ``"deadline"``.
    """

    reason: str
    retry_after_s: float


class _Lane:
    """Queue of one account, by adapter."""

    def __init__(self, weight):
        self.weight = weight
        self.deficit = 0.0
        self.adapters = OrderedDict()
        self.run_tokens = 0.0
        self.count = 0
        self.tokens = 0.0


class FairQueue:
    """Requests waiting on this node.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests of one account.
    quantum : float
        Tokens that an account of weight 1 gets per turn.
    """

    def __init__(self, max_waiting=MAX_WAITING_PER_ACCOUNT, quantum=QUANTUM_TOKENS):
        self._max_waiting = max_waiting
        self._quantum = quantum
        self._weights = {}
        self._lanes = OrderedDict()
        self._turn_paid = False
        self._items = {}
        self._served_per_s = 0.0
        self._served = 0.0
        self._served_since = None

    def __len__(self):
        return len(self._items)

    @property
    def waiting_by_account(self):
        """Number of waiting requests of each account that has any."""
        return {name: lane.count for name, lane in self._lanes.items()}

    def set_weights(self, weights):
        """Replace the weights of the accounts; an account without one has 1."""
        self._weights = dict(weights)
        for name, lane in self._lanes.items():
            lane.weight = self._weights.get(name, 1.0)

    def push(self, now, item):
        """Queue a request, or refuse it at once.

        Parameters
        ----------
        now : float
        item : QueuedRequest

        Returns
        -------
        QueueRefusal or None
            None if the request was queued.
        """
        lane = self._lanes.get(item.account)
        wait_s = self.expected_wait_s(item.account)
        if lane is not None and lane.count >= self._max_waiting:
            return QueueRefusal("queue-full", max(wait_s, MIN_RETRY_AFTER_S))
        if now + wait_s > item.deadline:
            return QueueRefusal("deadline", max(wait_s, MIN_RETRY_AFTER_S))
        if lane is None:
            lane = _Lane(self._weights.get(item.account, 1.0))
            self._lanes[item.account] = lane
        lane.adapters.setdefault(item.adapter, deque()).append(item)
        lane.count += 1
        lane.tokens += item.tokens
        self._items[item.request_id] = item
        return None

    def pop(self, now, can_run):
        """Remove and return the next request that can run, or None.

        Parameters
        ----------
        now : float
        can_run : callable
            Takes a :class:`QueuedRequest` and returns whether a target has room for it.
        """
        rounds = len(self._lanes)
        blocked = 0
        while self._lanes and blocked <= rounds:
            name, lane = next(iter(self._lanes.items()))
            item = _next_item(lane, can_run)
            if item is None:
                lane.deficit = min(lane.deficit, self._quantum * lane.weight)
                blocked += 1
                self._end_turn(name)
                continue
            if not self._turn_paid:
                lane.deficit += self._quantum * lane.weight
                self._turn_paid = True
            if lane.deficit < item.tokens:
                self._end_turn(name)
                blocked = 0
                continue
            lane.deficit -= item.tokens
            self._take(lane, item)
            self._count_service(now, item.tokens)
            return item
        return None

    def expire(self, now):
        """Remove and return the requests whose deadline has passed."""
        late = [item for item in self._items.values() if item.deadline < now]
        for item in late:
            self.remove(item.request_id)
        return late

    def remove(self, request_id):
        """Remove and return a request, or return None if it isn't queued."""
        item = self._items.get(request_id)
        if item is None:
            return None
        lane = self._lanes[item.account]
        lane.adapters[item.adapter].remove(item)
        self._forget(lane, item)
        return item

    def expected_wait_s(self, account):
        """Return how long a new request of an account would wait, in seconds.

        It is 0 until a service rate has been measured.
        """
        lane = self._lanes.get(account)
        if lane is None or self._served_per_s <= 0.0:
            return 0.0
        weights = sum(other.weight for other in self._lanes.values())
        fair_s = lane.tokens * weights / lane.weight / self._served_per_s
        total = sum(other.tokens for other in self._lanes.values())
        return min(fair_s, total / self._served_per_s)

    def _take(self, lane, item):
        lane.adapters[item.adapter].popleft()
        lane.run_tokens += item.tokens
        self._forget(lane, item)

    def _forget(self, lane, item):
        del self._items[item.request_id]
        lane.count -= 1
        lane.tokens -= item.tokens
        if not lane.adapters[item.adapter]:
            del lane.adapters[item.adapter]
            lane.run_tokens = 0.0
        if lane.count == 0:
            if next(iter(self._lanes)) == item.account:
                self._turn_paid = False
            del self._lanes[item.account]

    def _end_turn(self, name):
        self._lanes.move_to_end(name)
        self._turn_paid = False

    def _count_service(self, now, tokens):
        if self._served_since is None:
            self._served_since = now
        elapsed = now - self._served_since
        if elapsed > 0.0:
            keep = 0.5 ** (elapsed / RATE_HALF_LIFE_S)
            seen = self._served / elapsed
            self._served_per_s = keep * self._served_per_s + (1.0 - keep) * seen
            self._served = 0.0
            self._served_since = now
        self._served += tokens


def _next_item(lane, can_run):
    if lane.run_tokens >= ADAPTER_RUN_TOKENS:
        lane.adapters.move_to_end(next(iter(lane.adapters)))
        lane.run_tokens = 0.0
    for adapter in list(lane.adapters):
        item = lane.adapters[adapter][0]
        if can_run(item):
            if next(iter(lane.adapters)) != adapter:
                lane.adapters.move_to_end(adapter, last=False)
                lane.run_tokens = 0.0
            return item
    return None
