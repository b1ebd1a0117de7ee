"""Load, baselines and counters of the limits measurement."""

from random import Random
from time import perf_counter
from typing import NamedTuple

from hibiscusspar.config.model import AccountSpec
from hibiscusspar.limits.bucket import Bucket
from hibiscusspar.limits.messages import MESSAGES
from hibiscusspar.limits.node_limit import Reservation
from hibiscusspar.limits.tests.cluster import Cluster
from hibiscusspar_wire.codec import MessageCodec

__all__ = ["Case", "Load", "Tally", "account_specs", "zone_names"]

BURST_S = 10.0  # an account's burst, in seconds of its rate
SHARES = (0.40, 0.25, 0.15, 0.12, 0.08)  # of the fleet's rate, by account
MEAN_TOKENS = 275.0
USED_FRACTION = 0.6  # tokens used, of the reserved upper bound
WAIT_S = 1.0  # longest wait for the home before a request is refused
RETRY_S = 0.05
HTTP_HEAD_BYTES = 350  # head of one request or answer between entry VMs
LATENCY_S = 0.015  # of a message: the wait for its exchange plus the network
LIST_LAG_S = 5.0  # until the platform's list drops a VM that is gone
_CODEC = MessageCodec({"limits": MESSAGES})


class Case(NamedTuple):
    """One situation; ``loads`` is each account's load relative to its rate.

    For the first ``initial_s`` seconds the load is ``initial_load`` instead.
    """

    name: str
    loads: tuple
    zone_shares: dict = {}
    initial_s: float = 0.0
    initial_load: float = 0.0
    fault: str = ""


class Tally(NamedTuple):
    """Counts of requests and tokens of one account under one scheme.

    ``wrongful`` counts refusals of requests that the ideal bucket admits.
    """

    offered: int = 0
    refused: int = 0
    wrongful: int = 0
    ideal_tokens: float = 0.0
    tokens: float = 0.0


def zone_names(count):
    """Return the names of the first ``count`` zones."""
    return [chr(ord("a") + index) for index in range(count)]


def account_specs(rate, zones):
    """Return accounts that share the fleet's rate, given in tokens per second."""
    fractions = tuple((zone, 1.0 / len(zones)) for zone in zones)
    return [
        AccountSpec(f"account{i}", rate * share, BURST_S * rate * share, 1.0, fractions)
        for i, share in enumerate(SHARES)
    ]


class _BucketScheme:
    """Baseline scheme: buckets with refunds, looked up by key."""

    def __init__(self, buckets):
        self._buckets = buckets
        self._last_id = 0

    def try_reserve(self, now, key, tokens):
        bucket = self._buckets.get(key)
        if bucket is None:
            return None
        bucket.advance(now)
        self._last_id += 1
        if not bucket.reserve(self._last_id, tokens):
            return None
        return self._last_id

    def settle(self, now, key, reservation_id, reserved, used):
        bucket = self._buckets[key]
        bucket.advance(now)
        bucket.settle(reservation_id, reserved, used)


def _full_bucket(rate, cap):
    bucket = Bucket(0.0)
    bucket.renew(0.0, rate, cap, cap, 1e9)
    return bucket


class Load:
    """Poisson arrivals at the VMs of a cluster, offered to every scheme."""

    def __init__(self, case, zones, per_zone, rate, seed=1, tick_s=0.1):
        self.case = case
        self.zones = zone_names(zones)
        self.accounts = account_specs(rate, self.zones)
        sizes = dict.fromkeys(self.zones, per_zone)
        self.cluster = Cluster(
            sizes, self.accounts, seed=seed, latency_s=LATENCY_S, tick_s=tick_s
        )
        self.cluster.on_send = self._count_bytes
        self._rng = Random(seed)
        self.counting = False
        self.bytes = {}
        self.cpu = {}
        self.tallies = {}
        self.late_wrongful = 0
        self.late_offered = 0
        self.refused_at_first = 0
        self._load_start = 0.0
        self._requests = 0
        self._central_down_until = 0.0
        self._ideal = _BucketScheme(
            {a.name: _full_bucket(a.rate, a.burst) for a in self.accounts}
        )
        self._central = _BucketScheme(
            {a.name: _full_bucket(a.rate, a.burst) for a in self.accounts}
        )
        share = 1.0 / (zones * per_zone)
        self._static = _BucketScheme(
            {
                (a.name, vm): _full_bucket(a.rate * share, a.burst * share)
                for a in self.accounts
                for vm in self.cluster.vms
            }
        )
        self._time_systems()

    def run(self, warm_up_s, load_s):
        """Warm up without load, then offer the load and count decisions."""
        self.cluster.run(warm_up_s)
        self._load_start = self.cluster.now
        for vm in self.cluster.vms.values():
            vm.sent = 0
        self.counting = True
        if self.case.fault:
            self.cluster.schedule(load_s / 3.0, self._inject_fault)
        for index, load in enumerate(self.case.loads):
            self._next_arrival(index, load, self.cluster.now + load_s)
        self.cluster.run(load_s)
        self.counting = False

    def _next_arrival(self, index, load, end):
        account = self.accounts[index]
        if self.cluster.now >= end:
            return
        in_initial_phase = self.cluster.now < self._load_start + self.case.initial_s
        load = self.case.initial_load if in_initial_phase else load
        per_s = load * account.rate / (MEAN_TOKENS * USED_FRACTION)
        delay_s = self._rng.expovariate(per_s)
        self.cluster.schedule(delay_s, self._arrive, index, end)

    def _arrive(self, index, end):
        self._next_arrival(index, self.case.loads[index], end)
        cluster = self.cluster
        account = self.accounts[index].name
        tokens = self._rng.uniform(0.4, 1.6) * MEAN_TOKENS
        used = USED_FRACTION * tokens
        duration_s = self._rng.uniform(0.5, 3.0)
        vm = self._pick_vm()
        ideal = self._offer(self._ideal, account, account, tokens, used, duration_s)
        self._record_decision("ideal", account, ideal, ideal, used)
        static = self._offer(
            self._static, (account, vm), account, tokens, used, duration_s
        )
        self._record_decision("static", account, ideal, static, used)
        central = self._central_reachable(vm) and self._offer(
            self._central, account, account, tokens, used, duration_s
        )
        self._record_decision("central", account, ideal, central, used)
        self._requests += 1
        deadline = cluster.now + WAIT_S
        self._try_lease_scheme(
            vm, account, tokens, used, duration_s, ideal, deadline, False
        )

    def _try_lease_scheme(
        self, vm, account, tokens, used, duration_s, ideal, deadline, retry
    ):
        cluster = self.cluster
        if vm not in cluster.vms:
            return
        answer = cluster.request(vm, account, tokens, retry=retry)
        admitted = isinstance(answer, Reservation)
        if admitted:
            cluster.settle_later(
                cluster.vms[vm], cluster.last_key, answer, used, duration_s
            )
        elif not retry:
            self.refused_at_first += 1
        if not admitted and cluster.now + RETRY_S < deadline:
            args = (vm, account, tokens, used, duration_s, ideal, deadline, True)
            cluster.schedule(RETRY_S, self._try_lease_scheme, *args)
            return
        self._record_decision("leases", account, ideal, admitted, used)
        if cluster.now - self._load_start > 15.0:
            self.late_offered += 1
            self.late_wrongful += ideal and not admitted

    def _offer(self, scheme, key, account, tokens, used, duration_s):
        now = self.cluster.now
        reservation_id = scheme.try_reserve(now, key, tokens)
        if reservation_id is None:
            return False
        self.cluster.schedule(
            duration_s, self._settle, scheme, key, reservation_id, tokens, used
        )
        return True

    def _settle(self, scheme, key, reservation_id, tokens, used):
        scheme.settle(self.cluster.now, key, reservation_id, tokens, used)

    def _pick_vm(self):
        rng = self._rng
        weights = [self.case.zone_shares.get(zone, 1.0) for zone in self.zones]
        zone = rng.choices(self.zones, weights)[0]
        return rng.choice([m.vm for m in self.cluster.live(zone)])

    def _central_reachable(self, vm):
        if self.cluster.now < self._central_down_until:
            return False
        central_zone = self.zones[0]
        zone = self.cluster.vms[vm].zone
        cuts = self.cluster.cuts
        return zone == central_zone or not (zone in cuts or central_zone in cuts)

    def _inject_fault(self):
        cluster = self.cluster
        zone = self.zones[0]
        if self.case.fault == "cut":
            cluster.cuts.add(zone)
            return
        home = cluster.roles[f"limit-home/{zone}/account0"][0]
        cluster.add_vm("replacement", zone)
        cluster.pause(home)
        cluster.schedule(LIST_LAG_S, cluster.remove_vm, home)
        self._central_down_until = cluster.now + LIST_LAG_S

    def _record_decision(self, scheme, account, ideal, admitted, used):
        tally = self.tallies.get((scheme, account), Tally())
        self.tallies[scheme, account] = Tally(
            tally.offered + 1,
            tally.refused + (not admitted),
            tally.wrongful + (ideal and not admitted),
            tally.ideal_tokens + used * ideal,
            tally.tokens + used * bool(admitted),
        )

    def _count_bytes(self, vm, peer, message):
        if self.counting:
            size = len(_CODEC.encode(vm.name, [message])) + HTTP_HEAD_BYTES
            self.bytes[vm.name] = self.bytes.get(vm.name, 0) + size
            self.bytes[peer] = self.bytes.get(peer, 0) + size

    def _time_systems(self):
        """Measure the CPU time of the ticks and messages of each VM."""
        for name in ("tick", "receive"):
            _time_calls(self, name)


def _time_calls(load, name):
    for vm in load.cluster.vms.values():
        function = getattr(vm.system, name)
        setattr(vm.system, name, _timed(load, vm.name, function))


def _timed(load, vm, function):
    def call(*args):
        started = perf_counter()
        result = function(*args)
        if load.counting:
            spent = perf_counter() - started
            load.cpu[vm] = load.cpu.get(vm, 0.0) + spent
        return result

    return call
