"""Tests of the choice of targets for the requests of one node."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.messages import (
    AdapterLoad,
    FleetView,
    SendNotice,
    TargetLoad,
)
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.residency_numbers import join_numbers
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.waiting import Job, Refuse, Send
from hibiscusspar.requests.ejection import EjectionPolicy, EjectionTable
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.request_scheduler import RequestScheduler
from hibiscusspar_entry.fleet.target_gate import TargetGate
from hibiscusspar_entry.fleet.target_statements import TargetStatements

KEY = ("m", "a1")
PROMPT_TOKENS_S = 19_200.0


def make_gate(clock, limits):
    """Return a gate for targets that have said nothing but the limits given."""
    return TargetGate(limits, TargetStatements(clock, limits))


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def target(name, adapters=(), draining=False, zone="z1", born=1):
    return Target(
        name,
        "draft",
        "10.0.0.1:80",
        zone,
        128,
        draining,
        born,
        0,
        {"m": 1},
        {("m", a): 1 for a in adapters},
    )


def view(
    residency=None,
    loads=None,
    acked=None,
    fence=1,
    number=1,
    levels=None,
    directory=(),
    numbers=(),
):
    return FleetView(
        node="c",
        start="s",
        address="10.0.0.9:7000",
        fence=fence,
        leased=True,
        number=number,
        nodes=3,
        acked=acked or {},
        loads=loads or {},
        residency=residency or {},
        levels=levels or {},
        config_version=1,
        config_age_s=0.0,
        directory_age_s=0.0,
        directory=list(directory),
        row_digests=b"",
        residency_numbers=join_numbers(numbers),
        rows=[],
        versions={},
        held=[],
    )


def engine_rules():
    service = SimpleNamespace(name="draft", engine=object())
    return SimpleNamespace(services={"draft": service})


class SchedulerTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        ejection = EjectionTable(EjectionPolicy())
        self.limits = LimitExchange(self.clock)
        self.scheduler = RequestScheduler(
            "n1",
            "s",
            "z1",
            self.clock,
            ejection,
            3.0,
            make_gate(self.clock, self.limits),
        )
        self.scheduler.configure(engine_rules())

    def job(self, key=KEY, priority=1, prompt_tokens=1000):
        now = self.clock.now
        return Job("r", "draft", key, priority, prompt_tokens, now, 1.0, now + 1.5, 0.5)

    def targets(self, *rows):
        self.scheduler.set_targets({row.target_id: row for row in rows})


class TestResidency(SchedulerTestCase):
    def test_directory_is_used_before_the_first_view(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        ticket = self.scheduler.submit(self.job())
        self.assertEqual(ticket.placement.target.target_id, "t1")

    def test_view_takes_precedence_over_the_directory(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        self.scheduler.apply_view(view({"t1": (1, []), "t2": (1, [("m/a1", 1, 0.0)])}))
        ticket = self.scheduler.submit(self.job())
        self.assertEqual(ticket.placement.target.target_id, "t2")

    def test_request_waits_for_a_load_and_starts_when_it_is_ready(self):
        self.targets(target("t1"))
        self.scheduler.apply_view(view({"t1": (1, [("m/a1", 1, 0.2)])}))
        ticket = self.scheduler.submit(self.job())
        self.assertFalse(ticket.decided.is_set())
        self.clock.now += 0.25
        self.scheduler.tick()
        self.assertIsInstance(ticket.decision, Send)

    def test_request_starts_when_a_load_is_ready_though_no_view_told_of_it(self):
        self.targets(target("t1"))
        self.scheduler.apply_view(view({"t1": (1, [])}))
        # A node of a zone of 40 decides up to 0.24 s apart.
        self.scheduler.direct_peers = 40
        ticket = self.scheduler.submit(self.job())
        self.scheduler.tick()
        load = AdapterLoad("t1", "m/a1", 1, 0.2, 1)
        self.scheduler.apply_notice(SendNotice([], loads=[load]))
        self.clock.now += 0.19
        self.scheduler.tick()
        self.assertFalse(ticket.decided.is_set())
        self.clock.now += 0.02
        self.scheduler.tick()
        self.assertIsInstance(ticket.decision, Send)

    def test_view_without_a_load_that_was_announced_removes_it(self):
        self.targets(target("t1"))
        self.scheduler.apply_view(view({"t1": (1, [])}))
        load = AdapterLoad("t1", "m/a1", 1, 0.0, 1)
        self.scheduler.apply_notice(SendNotice([], loads=[load]))
        self.scheduler.apply_view(view({"t1": (2, [])}, number=2))
        self.assertFalse(self.scheduler.submit(self.job()).decided.is_set())

    def test_older_state_of_a_target_is_ignored(self):
        self.targets(target("t1"))
        self.scheduler.apply_view(view({"t1": (5, [("m/a1", 1, 0.0)])}))
        self.scheduler.apply_view(view({"t1": (4, [])}, number=2))
        self.assertIsNotNone(self.scheduler.submit(self.job()).placement)

    def test_next_coordinator_restarts_the_numbers(self):
        self.targets(target("t1"))
        self.scheduler.apply_view(view({"t1": (50, [("m/a1", 1, 0.0)])}, fence=1))
        self.scheduler.apply_view(view({"t1": (1, [])}, fence=2))
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_lost_residency_is_requested_until_it_arrives(self):
        self.targets(target("t1"), target("t2"))
        adapters = {"t1": (4, [("m/a1", 1, 0.0)]), "t2": (5, [])}
        first = view(adapters, directory=["t1", "t2"], numbers=[4, 5])
        self.scheduler.apply_view(first)
        self.assertEqual(self.scheduler.report({}).lacked_residency, [])
        self.scheduler.apply_view(view(directory=["t1", "t2"], numbers=[6, 5]))
        self.assertEqual(self.scheduler.report({}).lacked_residency, ["t1"])
        second = view({"t1": (6, [])}, directory=["t1", "t2"], numbers=[6, 5])
        self.scheduler.apply_view(second)
        self.assertEqual(self.scheduler.report({}).lacked_residency, [])
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_residency_of_the_previous_coordinator_is_requested_again(self):
        self.targets(target("t1"))
        adapters = {"t1": (4, [("m/a1", 1, 0.0)])}
        self.scheduler.apply_view(view(adapters, directory=["t1"], numbers=[4]))
        self.scheduler.apply_view(view(fence=2, directory=["t1"], numbers=[4]))
        self.assertEqual(self.scheduler.report({}).lacked_residency, ["t1"])

    def test_target_that_was_not_queried_is_not_requested(self):
        self.scheduler.apply_view(view(directory=["t1"], numbers=[0]))
        self.assertEqual(self.scheduler.report({}).lacked_residency, [])

    def test_target_without_the_adapter_gets_no_retry_at_once(self):
        self.targets(target("t1", ["a1"]))
        ticket = self.scheduler.submit(self.job())
        self.scheduler.record_missing_adapter(ticket.placement)
        self.scheduler.release(ticket.placement, first_byte=False)
        again = self.scheduler.submit(self.job())
        self.assertFalse(again.decided.is_set())
        self.clock.now += 0.3
        self.scheduler.tick()
        self.assertTrue(again.decided.is_set())


class TestVersions(SchedulerTestCase):
    def test_older_copy_serves_only_within_the_grace(self):
        self.targets(target("t1", ["a1"]))
        self.scheduler.announce(KEY, 2)
        self.clock.now += 2.9
        self.assertIsNotNone(self.scheduler.submit(self.job()).placement)
        self.clock.now += 0.2
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_newest_version_is_preferred_within_the_grace(self):
        self.targets(target("t1"), target("t2"))
        self.scheduler.announce(KEY, 2)
        rows = {"t1": (1, [("m/a1", 1, 0.0)]), "t2": (1, [("m/a1", 2, 0.0)])}
        self.scheduler.apply_view(view(rows))
        for _ in range(3):
            ticket = self.scheduler.submit(self.job())
            self.assertEqual(ticket.placement.target.target_id, "t2")

    def test_newer_announcement_gives_no_further_grace_to_older_copies(self):
        """Guards against copies that serve again once a third version is named."""
        self.targets(target("t1"), target("t2"))
        rows = {"t1": (1, [("m/a1", 0, 0.0)]), "t2": (1, [("m/a1", 2, 0.0)])}
        self.scheduler.apply_view(view(rows))
        self.scheduler.announce(KEY, 2)
        self.clock.now += 2.0
        self.scheduler.announce(KEY, 3)
        self.clock.now += 1.1
        self.scheduler.announce(KEY, 4)
        self.scheduler.apply_view(view(number=2))
        for _ in range(3):
            ticket = self.scheduler.submit(self.job())
            self.assertEqual(ticket.placement.target.target_id, "t2")
        self.clock.now += 2.0
        self.scheduler.apply_view(view(number=3))
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_version_of_unknown_age_leaves_no_grace(self):
        self.targets(target("t1", ["a1"]))
        self.scheduler.announce(KEY, 2, age_s=float("inf"))
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_age_of_a_relayed_announcement_counts(self):
        self.targets(target("t1", ["a1"]))
        self.scheduler.announce(KEY, 2, age_s=3.5)
        self.assertIsNone(self.scheduler.submit(self.job()).placement)


class TestTargets(SchedulerTestCase):
    def test_draining_target_gets_nothing_new(self):
        self.targets(target("t1", ["a1"], draining=True))
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_unreachable_target_is_ejected_at_once(self):
        self.targets(target("t1", ["a1"]), target("t2", ["a1"], zone="z2"))
        self.scheduler.record_failure("t1", unreachable=True)
        for _ in range(3):
            ticket = self.scheduler.submit(self.job())
            self.assertEqual(ticket.placement.target.target_id, "t2")

    def test_last_target_is_never_ejected(self):
        self.targets(target("t1", ["a1"]))
        self.scheduler.record_failure("t1", unreachable=True)
        self.assertIsNotNone(self.scheduler.submit(self.job()).placement)


class TestLoads(SchedulerTestCase):
    def test_own_share_of_a_reported_load_is_not_counted_twice(self):
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]))
        first = self.scheduler.submit(self.job(prompt_tokens=4000))
        own = first.placement.target.target_id
        (other,) = {"t1", "t2"} - {own}
        report = self.scheduler.report({})
        # The view counts this node's own request, and others at the other target.
        loads = {own: TargetLoad(1, 4000), other: TargetLoad(2, 7900)}
        self.scheduler.apply_view(view(loads=loads, acked={"n1": report.number}))
        second = self.scheduler.submit(self.job())
        self.assertEqual(second.placement.target.target_id, own)

    def test_released_request_is_no_longer_counted(self):
        self.targets(target("t1", ["a1"]))
        ticket = self.scheduler.submit(self.job())
        self.scheduler.record_first_byte(ticket.placement)
        self.assertEqual(self.scheduler.report({}).loads["t1"], TargetLoad(1, 0))
        self.scheduler.release(ticket.placement, first_byte=True)
        self.assertEqual(self.scheduler.report({}).loads, {})
        self.assertEqual(self.scheduler.report({}).in_use, {})


class TestWants(SchedulerTestCase):
    def test_waiting_requests_of_one_adapter_are_one_want(self):
        self.targets(target("t1"))
        for _ in range(3):
            self.scheduler.submit(self.job())
        (want,) = self.scheduler.report({}).wants
        self.assertEqual(
            (want.adapter, want.waiting, want.extra_copy), ("a1", 3, False)
        )

    def test_want_asks_for_an_extra_copy_while_copies_are_busy(self):
        self.targets(target("t1", ["a1"]))
        for _ in range(44):
            self.scheduler.submit(self.job(prompt_tokens=0))
        self.scheduler.submit(self.job(prompt_tokens=0))
        (want,) = self.scheduler.report({}).wants
        self.assertTrue(want.extra_copy)

    def test_adapter_held_only_by_an_ejected_target_is_wanted_elsewhere(self):
        self.targets(target("t1", ["a1"]), target("t2"), target("t3"))
        self.scheduler.record_failure("t1", unreachable=True)
        ticket = self.scheduler.submit(self.job())
        self.assertFalse(ticket.decided.is_set())
        (want,) = self.scheduler.report({}).wants
        self.assertEqual((want.extra_copy, want.excluded_targets), (False, ["t1"]))

    def test_adapter_held_only_by_a_silent_target_is_wanted_elsewhere(self):
        """Guards against a second attempt that is chosen for the silent target."""
        self.targets(target("t1", ["a1"]), target("t2"), target("t3"))
        ticket = self.scheduler.submit(self.job()._replace(broken_at=frozenset(["t1"])))
        self.assertFalse(ticket.decided.is_set())
        (want,) = self.scheduler.report({}).wants
        self.assertEqual((want.extra_copy, want.excluded_targets), (False, ["t1"]))

    def test_refused_request_is_no_longer_wanted(self):
        self.targets(target("t1"))
        ticket = self.scheduler.submit(self.job())
        self.clock.now += 1.6
        self.scheduler.tick()
        self.assertIsInstance(ticket.decision, Refuse)
        self.assertEqual(self.scheduler.report({}).wants, [])

    def test_withdrawn_request_releases_its_target(self):
        self.targets(target("t1", ["a1"]))
        ticket = self.scheduler.submit(self.job())
        self.scheduler.withdraw(ticket)
        self.assertEqual(self.scheduler.report({}).loads, {})


class TestWaitingForOneTarget(SchedulerTestCase):
    def test_request_without_a_target_in_time_is_refused(self):
        # Streams are sent one by one to the only copy, and more of them wait than can
        # be sent before they time out. Each must be refused when its time is over.
        self.scheduler.direct_peers = 25
        self.targets(target("t1"))
        streams = self.job()._replace(max_gap_s=0.3, event_steps=4)
        tickets = [self.scheduler.submit(streams) for _ in range(8)]
        self.clock.now += 1.4
        self.scheduler.apply_view(view({"t1": (1, [("m/a1", 1, 0.0)])}))
        self.scheduler.tick()
        self.clock.now += 0.15
        self.scheduler.tick()
        self.assertTrue(all(ticket.decided.is_set() for ticket in tickets))
        self.assertIsInstance(tickets[-1].decision, Refuse)


class TestThunderingHerd(unittest.TestCase):
    """Tests of a thundering herd: requests for one adapter wait on all nodes of a zone.

    The copy that they wait for becomes ready at the same moment for all nodes. If each
    node sent its requests at once, the target would get more prompts than it can read
    without pausing its streams.
    """

    NODES = 26
    NOTICE_STEPS = 2
    TICK_STEPS = 20

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.notices = []
        self.schedulers = [self.make_scheduler(index) for index in range(self.NODES)]

    def make_scheduler(self, index):
        ejection = EjectionTable(EjectionPolicy())
        scheduler = RequestScheduler(
            f"n{index}",
            "s",
            "z1",
            self.clock,
            ejection,
            3.0,
            make_gate(self.clock, LimitExchange(self.clock)),
        )
        scheduler.configure(engine_rules())
        scheduler.set_targets({"t1": target("t1")})
        scheduler.direct_peers = self.NODES - 1

        def record(sent_to, tokens):
            self.sent.append((self.clock.now, tokens))
            self.notices.append((self.clock.now, index, sent_to.target_id, tokens))

        scheduler.on_sent = record
        return scheduler

    def run_for(self, steps):
        for step in range(steps):
            self.clock.now += 0.001
            for notice in list(self.notices):
                at, sender, target_id, tokens = notice
                if self.clock.now >= at + 0.001 * self.NOTICE_STEPS:
                    self.notices.remove(notice)
                    for index, scheduler in enumerate(self.schedulers):
                        if index != sender:
                            scheduler.apply_notice(SendNotice([(target_id, tokens)]))
            for index, scheduler in enumerate(self.schedulers):
                if (step + index) % self.TICK_STEPS == 0:
                    scheduler.tick()

    def test_target_gets_no_more_prompts_than_its_streams_tolerate(self):
        now = self.clock.now
        for scheduler in self.schedulers:
            for number in range(2):
                job = Job(f"r{number}", "draft", KEY, 1, 1000, now, 5.0, now + 5.0, 0.5)
                scheduler.submit(job._replace(max_gap_s=0.3, event_steps=4))
        self.run_for(100)
        ready = view({"t1": (1, [("m/a1", 1, 0.0)])}, {"t1": TargetLoad(8, 0)})
        for scheduler in self.schedulers:
            scheduler.apply_view(ready)
        self.run_for(1000)
        queues, backlogs = PromptQueues(PROMPT_TOKENS_S), []
        for at, tokens in self.sent:
            queues.record_send(at, "t1", tokens)
            backlogs.append(queues.backlog_s(at, "t1"))
        # Within a pause of 0.3 s the target runs the four steps of an event and reads
        # the prompts in between. The users require this limit in 95 of 100 cases.
        longest_s = 0.3 - 4 * 0.0101
        overloads = sum(backlog_s > longest_s for backlog_s in backlogs)
        self.assertLessEqual(overloads, 0.05 * len(backlogs))
        self.assertGreater(len(self.sent), 12)
