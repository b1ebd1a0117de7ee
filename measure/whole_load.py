"""Load of the measurement of all parts, and a plain baseline for it."""

from bisect import bisect
from itertools import accumulate
from random import Random
from typing import NamedTuple

from hibiscusspar.limits.bucket import Bucket
from measure.placement_load import Arrival, Baseline
from measure.whole_fleet import (
    ACCOUNTS,
    ADAPTERS,
    CONCURRENCY,
    QUEUE_WAIT_S,
    SHARES,
    SLOTS,
    STEP_S,
    TARGETS,
    Ended,
    Offered,
)

__all__ = ["User", "ideal_admits", "make_load", "plain_baseline"]

BURST_S = 10.0  # of an account's rate
POPULARITY = 1.2  # exponent of Zipf's law
MIN_TOKENS = 60.0
MAX_TOKENS = 340.0
USED_FRACTION = 0.6  # of the upper bound
OUTPUT_FRACTION = 0.5
HOT = 20  # adapters that change places in a shift


class User(NamedTuple):
    """One user's deployment; ``rate`` in tokens per second, latency in seconds."""

    name: str
    zones: tuple[str, ...]
    rate: float
    latency_s: float


def make_load(
    user, start, seconds, seed, load=0.55, crowd=None, greedy=1.0, shift_at=None
):
    """Return the requests of all callers, ordered by time.

    Parameters
    ----------
    user : User
    start, seconds : float
        Time of the first request, and for how long they come.
    seed : int
    load : float
        Tokens used over the accounts' rates.
    crowd : (float, float, float), optional
        Start, end and load of a time in which the whole audience comes.
    greedy : float
        Factor on the load of the first account from one third of the time on.
    shift_at : float, optional
        Time at which the most popular adapters change places with others.

    Returns
    -------
    list of Offered
    """
    rng = Random(seed)
    nodes = 3 * len(user.zones)
    ranks = list(range(ADAPTERS))
    rng.shuffle(ranks)
    later = _shifted(ranks, rng)
    weights = list(accumulate(1.0 / (r + 1) ** POPULARITY for r in range(ADAPTERS)))
    mean_used = USED_FRACTION * (MIN_TOKENS + MAX_TOKENS) / 2.0
    requests = []
    for account, share in zip(ACCOUNTS, SHARES, strict=True):
        now = start
        while now < start + seconds:
            factor = load
            if crowd is not None and crowd[0] <= now < crowd[1]:
                factor = crowd[2]
            if account == ACCOUNTS[0] and now >= start + seconds / 3.0:
                factor *= greedy
            now += rng.expovariate(factor * user.rate * share / mean_used)
            rank = bisect(weights, rng.random() * weights[-1])
            order = later if shift_at is not None and now >= shift_at else ranks
            adapter = order[min(rank, ADAPTERS - 1)]
            tokens = rng.uniform(MIN_TOKENS, MAX_TOKENS)
            output = max(1, int(tokens * OUTPUT_FRACTION))
            node = rng.randrange(nodes)
            used = USED_FRACTION * tokens
            requests.append(Offered(now, account, adapter, node, tokens, used, output))
    return sorted(requests)


def ideal_admits(user, requests):
    """Return the requests that one bucket an account, without delay, admits."""
    buckets = _buckets(user, [""])
    return {r for r in requests if _take(buckets[r.account, ""], r)}


def plain_baseline(user, requests):
    """Return how requests end under an equal static split of limits.

    Each node has its equal part of every limit; targets are chosen by least load,
    queue in order of arrival and evict by recency.

    Returns
    -------
    ended : list of Ended
    baseline : Baseline
    """
    nodes = range(3 * len(user.zones))
    buckets = _buckets(user, nodes)
    ended, arrivals, admitted = [], [], {}
    for request in requests:
        if not _take(buckets[request.account, request.node], request):
            ended.append(Ended(request, "limit"))
            continue
        arrival = Arrival(request.at, request.adapter, request.output_tokens * STEP_S)
        admitted[arrival.at] = request
        arrivals.append(arrival)
    baseline = Baseline(TARGETS, SLOTS, CONCURRENCY, _least).run(arrivals)
    for outcome in baseline.outcomes:
        request = admitted[outcome.at]
        late = outcome.wait_s > QUEUE_WAIT_S
        kind = "busy" if late else "answered"
        ended.append(Ended(request, kind, outcome.wait_s, outcome.wait_s))
    return ended, baseline


def _least(loads):
    return loads.index(min(loads))


def _buckets(user, keys):
    keys = list(keys)
    made = {}
    for account, share in zip(ACCOUNTS, SHARES, strict=True):
        rate = user.rate * share / len(keys)
        for key in keys:
            made[account, key] = bucket = Bucket(0.0)
            bucket.renew(0.0, rate, BURST_S * rate, BURST_S * rate, 1e9)
    return made


def _take(bucket, request):
    """Take the used tokens at once, as an account's true use is counted."""
    bucket.advance(request.at)
    if not bucket.reserve(request, request.tokens):
        return False
    bucket.settle(request, request.tokens, request.used)
    return True


def _shifted(ranks, rng):
    order = list(ranks)
    for hot in range(HOT):
        other = rng.randrange(ADAPTERS)
        order[hot], order[other] = order[other], order[hot]
    return order
