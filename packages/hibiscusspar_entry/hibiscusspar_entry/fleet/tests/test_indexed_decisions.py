"""Tests that the index of targets changes no decision of the scheduler."""

import unittest
from random import Random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.fleet.messages import AdapterLoad, SendNotice, TargetLoad
from hibiscusspar.fleet.stream_origins import StreamOrigin, may_continue
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.usable_targets import UsableTargets
from hibiscusspar.fleet.waiting import Job
from hibiscusspar.requests.ejection import EjectionPolicy, EjectionTable
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.request_scheduler import RequestScheduler
from hibiscusspar_entry.fleet.target_gate import TargetGate
from hibiscusspar_entry.fleet.target_statements import AnswerOrigin, TargetStatements
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, view
from hibiscusspar_wire.dialect import AnswerHead

SERVICES = ("draft", "plain")
MODELS = ("m", "n")
ADAPTERS = ("", "a1", "a2")
IDS = tuple(f"t{number}" for number in range(6))
RULES = SimpleNamespace(
    services={
        "draft": SimpleNamespace(name="draft", engine=object()),
        "plain": SimpleNamespace(name="plain", engine=None),
    }
)
ANSWER = AnswerHead("r", "", not_run=False, sealed=False)
STATEMENTS = ({"leaving": True}, {"rest_s": 0.5}, {"limit_per_s": 2.0}, {})


class ScannedTargets(UsableTargets):
    """Usable targets by a scan of the directory, as before there was an index."""

    def set_targets(self, targets):
        self.targets = targets

    def staying(self, service):
        return {
            target.target_id: target
            for target in self.targets.values()
            if target.service == service and not target.draining
        }

    def usable(self, now, job):
        return {
            target_id
            for target_id, target in self.staying(job.service).items()
            if target_id not in self._ejected(now, job.service)
            and target_id not in job.broken_at
            and (job.software is None or may_continue(target, job))
        }

    def versions(self, now, job):
        ejected = self._ejected(now, job.service)
        versions = {}
        for target in self.targets.values():
            if target.service != job.service or target.draining:
                continue
            if target.target_id in job.broken_at:
                continue
            if job.software is not None and not may_continue(target, job):
                continue
            version = self._version(now, target, job.key)
            if version is not None and target.target_id not in ejected:
                versions[target.target_id] = version
        return versions

    def _ejected(self, now, service):
        return self._ejection.excluded(now, sorted(self.staying(service)))

    def _version(self, now, target, key):
        model, adapter = key
        if not model:
            return 0
        if not adapter:
            return target.models.get(model)
        return self._adapter_version(now, target, key)


class ScanningScheduler(RequestScheduler):
    """Scheduler that looks at all targets anew for each waiting request."""

    def _decide(self, now, ticket, taken=None, known=None):
        return super()._decide(now, ticket, taken)


class Node:
    """Scheduler of a node, with the requests that it got."""

    def __init__(self, make_scheduler, make_usable_targets):
        self.clock = Clock()
        limits = LimitExchange(self.clock)
        self.statements = TargetStatements(self.clock, limits)
        ejection = EjectionTable(EjectionPolicy())
        gate = TargetGate(limits, self.statements, Random(1))
        self.scheduler = make_scheduler(
            "n1", "s", "z1", self.clock, ejection, 3.0, gate
        )
        self.scheduler._usable = make_usable_targets(ejection, 3.0)
        self.scheduler.configure(RULES)
        self.scheduler.set_targets({})
        self.targets = {}
        self.tickets = []
        self.views = 0

    def directory(self, rows):
        self.targets = {row.target_id: row for row in rows}
        self.scheduler.set_targets(self.targets)

    def view(self, fence, residency, loads):
        self.views += 1
        residency = {target_id: (self.views, rows) for target_id, rows in residency}
        sent = view(residency, dict(loads), fence=fence, number=self.views)
        self.scheduler.apply_view(sent)

    def load(self, target_id, adapter, version, ready_in_s):
        load = AdapterLoad(target_id, f"m/{adapter}", version, ready_in_s, 1)
        self.scheduler.apply_notice(SendNotice([], loads=[load]))

    def announce(self, adapter, version, age_s):
        self.scheduler.announce(("m", adapter), version, age_s)

    def fail(self, target_id, unreachable):
        self.scheduler.record_failure(target_id, unreachable)

    def succeed(self, target_id):
        self.scheduler.record_success(target_id)

    def say(self, target_id, statement):
        if target_id in self.targets:
            origin = AnswerOrigin(self.targets[target_id], self.clock.now)
            self.statements.record(origin, ANSWER._replace(**statement), 200, "r")

    def submit(self, service, key, software, excluded, tokens):
        now = self.clock.now
        job = Job("r", service, key, 1, tokens, now, 1.0, now + 1.5, 0.5, 0.3)
        job = job._replace(excluded=excluded, software=software, broken_at=excluded)
        self.tickets.append(self.scheduler.submit(job))

    def release(self, number, is_missing):
        sent = [ticket for ticket in self.tickets if ticket.placement is not None]
        if sent:
            placement = sent[number % len(sent)].placement
            if is_missing:
                self.scheduler.record_missing_adapter(placement)
            self.scheduler.release(placement, False)
            self.tickets.remove(sent[number % len(sent)])

    def direct_peers(self, count):
        self.scheduler.direct_peers = count

    def wait(self, seconds):
        self.clock.now += seconds
        self.scheduler.tick()

    def state(self):
        """Return all that the scheduler has decided."""
        decisions = [
            (ticket.decision, ticket.waits_for, ticket.placement)
            for ticket in self.tickets
        ]
        origins = [StreamOrigin(s, v) for s in SERVICES for v in ("", "v1", "v2")]
        serves = [self.scheduler.serves(origin) for origin in origins]
        report = self.scheduler.report({})
        return decisions, serves, report.wants, report.loads, report.permit_demand


ids = st.sampled_from(IDS)
adapters = st.sampled_from(ADAPTERS[1:])
versions = st.integers(1, 3)
seconds = st.sampled_from((0.0, 0.1, 0.2, 1.0, 2.0))
keys = st.one_of(
    st.just(("", "")),
    st.tuples(st.sampled_from(MODELS), st.sampled_from(ADAPTERS)),
)
targets = st.builds(
    Target,
    target_id=ids,
    service=st.sampled_from(SERVICES),
    address=st.just("10.0.0.1:80"),
    zone=st.sampled_from(("z1", "z2")),
    slots=st.integers(1, 4),
    draining=st.booleans(),
    born=st.integers(1, 2),
    orders_accepted=st.just(0),
    models=st.dictionaries(st.sampled_from(MODELS), versions),
    adapters=st.dictionaries(st.tuples(st.just("m"), adapters), versions),
    software=st.sampled_from(("", "v1", "v2")),
)
resident = st.lists(
    st.tuples(adapters.map(lambda name: f"m/{name}"), versions, seconds), max_size=3
)
loads = st.builds(TargetLoad, st.integers(0, 5), st.sampled_from((0, 900, 20_000)))
steps = st.one_of(
    st.tuples(st.just("directory"), st.lists(targets, max_size=6)),
    st.tuples(
        st.just("view"),
        st.integers(1, 2),
        st.lists(st.tuples(ids, resident), max_size=6),
        st.lists(st.tuples(ids, loads), max_size=6),
    ),
    st.tuples(st.just("load"), ids, adapters, versions, seconds),
    st.tuples(st.just("announce"), adapters, versions, seconds),
    st.tuples(st.just("fail"), ids, st.booleans()),
    st.tuples(st.just("succeed"), ids),
    st.tuples(st.just("say"), ids, st.sampled_from(STATEMENTS)),
    st.tuples(
        st.just("submit"),
        st.sampled_from(SERVICES),
        keys,
        st.sampled_from((None, "", "v1", "v2")),
        st.frozensets(ids, max_size=3),
        st.sampled_from((10, 1000, 30_000)),
    ),
    st.tuples(st.just("release"), st.integers(0, 5), st.booleans()),
    st.tuples(st.just("direct_peers"), st.integers(0, 1)),
    st.tuples(st.just("wait"), seconds),
)


class TestIndexedDecisions(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(steps, max_size=30))
    def test_decisions_equal_those_of_a_scan_of_all_targets(self, steps):
        indexed = Node(RequestScheduler, UsableTargets)
        scanned = Node(ScanningScheduler, ScannedTargets)
        for name, *arguments in steps:
            for node in (indexed, scanned):
                getattr(node, name)(*arguments)
            self.assertEqual(indexed.state(), scanned.state())
