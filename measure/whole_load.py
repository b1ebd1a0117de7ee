"""Load and baseline of the measurement of all parts together."""

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
    OfferedRequest,
    RequestResult,
)

__all__ = ["User", "ideally_admitted", "make_load", "static_baseline"]

BURST_S = 10.0  # an account's burst, in seconds of its rate
ZIPF_EXPONENT = 1.2  # of the popularity of adapters
MIN_TOKENS = 60.0
MAX_TOKENS = 340.0
USED_FRACTION = 0.6  # tokens used, of the reserved upper bound
OUTPUT_FRACTION = 0.5  # output tokens, of the same upper bound
SHIFTED_ADAPTERS = 20  # popular adapters that swap ranks in a shift


class User(NamedTuple):
    """Deployment of one user; ``rate`` is in tokens per second."""

    name: str
    zones: tuple[str, ...]
    rate: float
    latency_s: float


def make_load(
    user,
    start,
    seconds,
    seed,
    load=0.55,
    surge=None,
    overload_factor=1.0,
    shift_at=None,
):
    """Return the requests of all callers in order of arrival.

    Parameters
    ----------
    user : User
    start, seconds : float
        Start and duration of the load.
    seed : int
    load : float
        Tokens used relative to the accounts' rates.
    surge : (float, float, float), optional
        Start, end and load of a surge of requests.
    overload_factor : float
        Factor on the load of the first account after one third of the duration.
    shift_at : float, optional
        Time at which the most popular adapters swap ranks with others.

    Returns
    -------
    list of OfferedRequest
    """
    rng = Random(seed)
    nodes = 3 * len(user.zones)
    ranks = list(range(ADAPTERS))
    rng.shuffle(ranks)
    shifted_ranks = _shifted(ranks, rng)
    weights = list(accumulate(1.0 / (r + 1) ** ZIPF_EXPONENT for r in range(ADAPTERS)))
    mean_used = USED_FRACTION * (MIN_TOKENS + MAX_TOKENS) / 2.0
    requests = []
    for account, share in zip(ACCOUNTS, SHARES, strict=True):
        now = start
        while now < start + seconds:
            factor = load
            if surge is not None and surge[0] <= now < surge[1]:
                factor = surge[2]
            if account == ACCOUNTS[0] and now >= start + seconds / 3.0:
                factor *= overload_factor
            now += rng.expovariate(factor * user.rate * share / mean_used)
            rank = bisect(weights, rng.random() * weights[-1])
            order = shifted_ranks if shift_at is not None and now >= shift_at else ranks
            adapter = order[min(rank, ADAPTERS - 1)]
            tokens = rng.uniform(MIN_TOKENS, MAX_TOKENS)
            output = max(1, int(tokens * OUTPUT_FRACTION))
            node = rng.randrange(nodes)
            used = USED_FRACTION * tokens
            requests.append(
                OfferedRequest(now, account, adapter, node, tokens, used, output)
            )
    return sorted(requests)


def ideally_admitted(user, requests):
    """Return the requests admitted by one ideal bucket per account for the fleet."""
    buckets = _buckets(user, [""])
    return {r for r in requests if _reserve_and_settle(buckets[r.account, ""], r)}


def static_baseline(user, requests):
    """Return how requests end under a static, equal split of the limits.

    Every node has an equal part of each limit. Requests go to the least loaded
    target, queue there first-come first-served, and adapters are evicted by LRU.

    Returns
    -------
    results : list of RequestResult
    baseline : Baseline
    """
    nodes = range(3 * len(user.zones))
    buckets = _buckets(user, nodes)
    results, arrivals, admitted = [], [], {}
    for request in requests:
        if not _reserve_and_settle(buckets[request.account, request.node], request):
            results.append(RequestResult(request, "limit"))
            continue
        arrival = Arrival(request.at, request.adapter, request.output_tokens * STEP_S)
        admitted[arrival.at] = request
        arrivals.append(arrival)
    baseline = Baseline(TARGETS, SLOTS, CONCURRENCY, _least_loaded).run(arrivals)
    for outcome in baseline.outcomes:
        request = admitted[outcome.at]
        late = outcome.wait_s > QUEUE_WAIT_S
        kind = "busy" if late else "answered"
        results.append(RequestResult(request, kind, outcome.wait_s, outcome.wait_s))
    return results, baseline


def _least_loaded(loads):
    return loads.index(min(loads))


def _buckets(user, keys):
    keys = list(keys)
    buckets = {}
    for account, share in zip(ACCOUNTS, SHARES, strict=True):
        rate = user.rate * share / len(keys)
        for key in keys:
            buckets[account, key] = bucket = Bucket(0.0)
            bucket.renew(0.0, rate, BURST_S * rate, BURST_S * rate, 1e9)
    return buckets


def _reserve_and_settle(bucket, request):
    """Reserve and settle at once, so that only the tokens used are debited."""
    bucket.advance(request.at)
    if not bucket.reserve(request, request.tokens):
        return False
    bucket.settle(request, request.tokens, request.used)
    return True


def _shifted(ranks, rng):
    order = list(ranks)
    for hot in range(SHIFTED_ADAPTERS):
        other = rng.randrange(ADAPTERS)
        order[hot], order[other] = order[other], order[hot]
    return order
