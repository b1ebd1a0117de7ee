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


class _AccountQueue:
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
        self._queues = OrderedDict()
        self._quantum_added = False
        self._items = {}
        self._served_per_s = 0.0
        self._served = 0.0
        self._served_since = None

    def __len__(self):
        return len(self._items)

    @property
    def waiting_by_account(self):
        """Number of waiting requests of each account that has any."""
        return {name: queue.count for name, queue in self._queues.items()}

    def set_weights(self, weights):
        """Replace the weights of the accounts; an account without one has 1."""
        self._weights = dict(weights)
        for name, queue in self._queues.items():
            queue.weight = self._weights.get(name, 1.0)

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
        queue = self._queues.get(item.account)
        wait_s = self.expected_wait_s(item.account)
        if queue is not None and queue.count >= self._max_waiting:
            return QueueRefusal("queue-full", max(wait_s, MIN_RETRY_AFTER_S))
        if now + wait_s > item.deadline:
            return QueueRefusal("deadline", max(wait_s, MIN_RETRY_AFTER_S))
        if queue is None:
            queue = _AccountQueue(self._weights.get(item.account, 1.0))
            self._queues[item.account] = queue
        queue.adapters.setdefault(item.adapter, deque()).append(item)
        queue.count += 1
        queue.tokens += item.tokens
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
        rounds = len(self._queues)
        blocked = 0
        while self._queues and blocked <= rounds:
            name, queue = next(iter(self._queues.items()))
            item = _next_item(queue, can_run)
            if item is None:
                queue.deficit = min(queue.deficit, self._quantum * queue.weight)
                blocked += 1
                self._end_turn(name)
                continue
            if not self._quantum_added:
                queue.deficit += self._quantum * queue.weight
                self._quantum_added = True
            if queue.deficit < item.tokens:
                self._end_turn(name)
                blocked = 0
                continue
            queue.deficit -= item.tokens
            self._take(queue, item)
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
        queue = self._queues[item.account]
        queue.adapters[item.adapter].remove(item)
        self._forget(queue, item)
        return item

    def expected_wait_s(self, account):
        """Return how long a new request of an account would wait, in seconds.

        It is 0 until a service rate has been measured.
        """
        queue = self._queues.get(account)
        if queue is None or self._served_per_s <= 0.0:
            return 0.0
        weights = sum(other.weight for other in self._queues.values())
        fair_s = queue.tokens * weights / queue.weight / self._served_per_s
        total = sum(other.tokens for other in self._queues.values())
        return min(fair_s, total / self._served_per_s)

    def _take(self, queue, item):
        queue.adapters[item.adapter].popleft()
        queue.run_tokens += item.tokens
        self._forget(queue, item)

    def _forget(self, queue, item):
        del self._items[item.request_id]
        queue.count -= 1
        queue.tokens -= item.tokens
        if not queue.adapters[item.adapter]:
            del queue.adapters[item.adapter]
            queue.run_tokens = 0.0
        if queue.count == 0:
            if next(iter(self._queues)) == item.account:
                self._quantum_added = False
            del self._queues[item.account]

    def _end_turn(self, name):
        self._queues.move_to_end(name)
        self._quantum_added = False

    def _count_service(self, now, tokens):
        if self._served_since is None:
            self._served_since = now
        elapsed = now - self._served_since
        if elapsed > 0.0:
            decay = 0.5 ** (elapsed / RATE_HALF_LIFE_S)
            rate = self._served / elapsed
            self._served_per_s = decay * self._served_per_s + (1.0 - decay) * rate
            self._served = 0.0
            self._served_since = now
        self._served += tokens


def _next_item(queue, can_run):
    if queue.run_tokens >= ADAPTER_RUN_TOKENS:
        queue.adapters.move_to_end(next(iter(queue.adapters)))
        queue.run_tokens = 0.0
    for adapter in list(queue.adapters):
        item = queue.adapters[adapter][0]
        if can_run(item):
            if next(iter(queue.adapters)) != adapter:
                queue.adapters.move_to_end(adapter, last=False)
                queue.run_tokens = 0.0
            return item
    return None
