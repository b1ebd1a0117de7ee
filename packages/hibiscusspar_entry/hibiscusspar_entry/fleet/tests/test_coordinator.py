"""Tests of what the coordinator's views carry, and how often they are sent."""

import threading
import unittest
from collections import Counter
from contextlib import suppress
from time import monotonic, sleep
from unittest.mock import patch

from msgspec.json import Decoder

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.lent_retries import RetryPool
from hibiscusspar.fleet.messages import (
    FleetView,
    NodeReport,
    RetryLoan,
    SendNotice,
    ViewRelay,
    Want,
)
from hibiscusspar.fleet.planner import LoadOrder
from hibiscusspar.fleet.rules import EngineRule, ModelRule
from hibiscusspar_entry.fleet.coordinator import Coordinator
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.ports import TargetState
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    engine_rules,
    target,
)

DECODER = Decoder(FleetView | ViewRelay)
NOTICE_DECODER = Decoder(FleetView | ViewRelay | SendNotice)
ADDRESS = ("10.0.0.1", 7000)
WAIT_S = 10.0
TICK_S = 0.02


class Election:
    leads = True
    fence = 1

    def holds(self, now):
        return self.leads


class Orders:
    """Targets of which each holds one adapter."""

    def read_state(self, target):
        return TargetState(0, {("m", "a1"): 1}, {}, ("m",), False)


class CoordinatorTestCase(unittest.TestCase):
    node_count = 1

    def setUp(self):
        self.clock = Clock()
        self.election = Election()
        self.views = []
        self.coordinator = Coordinator(
            "c",
            "s",
            "10.0.0.9:7000",
            self.clock,
            self.election,
            None,
            Orders(),
            ("z1",),
            self._send,
            8.0,
            lambda: (0.0, 0.0),
            LimitExchange(self.clock),
            CrashExchange(self.clock, lambda address: False, None, lambda: False),
            SpeedExchange(self.clock),
            retry_pool=RetryPool(0.2, 58.0, 10.0),
        )
        self.addCleanup(self.coordinator.close)
        rules = engine_rules()
        rules.accounts, rules.version = {}, 1
        self.coordinator.configure(rules)
        self.coordinator.set_targets({"t1": target("t1")})
        self.coordinator.take_over({})
        self.number = 0
        self.report()

    def _send(self, address, body):
        message = DECODER.decode(body)
        if isinstance(message, ViewRelay):
            message = DECODER.decode(bytes(message.view))
        self.views.append(message)

    def report(self, **changes):
        self.number += 1
        for index in range(self.node_count):
            name = f"n{index}"
            report = NodeReport(name, "s", "z1", self.number, {}, {}, [], {}, {})
            for field, value in changes.items():
                setattr(report, field, value)
            self.coordinator.handle_report(report, ADDRESS)

    def next_view(self):
        self.coordinator.send_views()
        return self.views[-1]


class TestRounds(CoordinatorTestCase):
    def setUp(self):
        super().setUp()
        self.rounds = 0
        plan = self.coordinator.plan

        def counted_plan():
            plan()
            self.rounds += 1

        self.coordinator.plan = counted_plan
        self.coordinator.set_targets({"t1": target("t1")})
        self.settle()

    def settle(self):
        """Wait until no round is left that was requested before."""
        known = -1
        while known != self.rounds:
            known = self.rounds
            sleep(0.2)

    def rounds_of_ticks(self):
        before = self.rounds
        for _ in range(5):
            self.coordinator.tick()
            sleep(TICK_S)
        return self.rounds - before

    def test_ticks_without_wants_cause_no_round_for_a_time(self):
        self.assertEqual(self.rounds_of_ticks(), 0)
        self.clock.now += 0.1
        self.coordinator.tick()
        ends_at = monotonic() + WAIT_S
        before = self.rounds
        while self.rounds == before and monotonic() < ends_at:
            sleep(0.01)
        self.assertEqual(self.rounds, before + 1)

    def test_each_tick_causes_a_round_while_a_request_waits(self):
        # A want that could not be placed must not wait for the next report.
        self.report(wants=[Want("draft", "m", "a9", 1, 10, 0, False)])
        ends_at = monotonic() + WAIT_S
        found = 0
        while found < 5 and monotonic() < ends_at:
            found += self.rounds_of_ticks()
        self.assertGreaterEqual(found, 5)


class TestResidency(CoordinatorTestCase):
    def wait_for_residency(self):
        ends_at = monotonic() + WAIT_S
        self.coordinator.plan()
        while monotonic() < ends_at:
            if "t1" in self.next_view().residency:
                return
            sleep(0.01)
        self.fail("the target was not queried")

    def test_lost_residency_is_sent_again_on_request(self):
        self.wait_for_residency()
        for _ in range(3):
            self.next_view()
        self.assertEqual(self.next_view().residency, {})
        self.report(lacked_residency=["t1"])
        self.assertEqual(list(self.next_view().residency), ["t1"])
        self.assertEqual(self.next_view().residency, {})


class TestErrorsOfBackgroundCalls(CoordinatorTestCase):
    """Guards against targets that get neither queries nor orders any more."""

    def setUp(self):
        super().setUp()
        self.planner = self.coordinator._planner

    def test_query_whose_answer_cannot_be_recorded_is_repeated(self):
        with (
            patch.object(self.planner, "record_report", side_effect=KeyError("m")),
            patch.object(self.planner, "record_no_report") as record_no_report,
        ):
            self.coordinator._query_state(target("t1"))
        self.assertIn("t1", record_no_report.call_args.args)

    def test_due_queries_are_made_though_the_rest_of_the_round_fails(self):
        queried = threading.Event()
        with (
            patch.object(self.planner, "targets_to_query", return_value=["t1"]),
            patch.object(self.planner, "next_orders", side_effect=KeyError("m")),
            patch.object(
                self.coordinator, "_query_state", lambda target: queried.set()
            ),
            suppress(KeyError),
        ):
            self.coordinator.plan()
        self.assertTrue(queried.wait(WAIT_S))

    def test_order_that_fails_before_it_is_sent_has_an_outcome(self):
        order = LoadOrder("t1", "load", "m", "a1", 1, 0)
        with (
            patch.object(self.planner, "record_outcome") as record_outcome,
            patch.object(self.coordinator, "_holders", side_effect=KeyError("z1")),
            suppress(KeyError),
        ):
            self.coordinator._dispatch(order)
        self.assertEqual(record_outcome.call_args.args[1].result, "lost")


class Dispatcher:
    """Duty holder whose targets accept every order."""

    def dispatch(self, order, zone, holder, fence):
        return "accepted"


class TestLoadNotices(CoordinatorTestCase):
    node_count = 3

    def setUp(self):
        self.notices = []
        super().setUp()

    def _send(self, address, body):
        message = NOTICE_DECODER.decode(body)
        if isinstance(message, SendNotice):
            self.notices.append((address, message))
        else:
            super()._send(address, body)

    def test_only_nodes_that_wait_for_an_adapter_are_told_of_its_load(self):
        self.coordinator._order_dispatcher = Dispatcher()
        self.report(duties={"z1": (1, True)})
        want = Want("draft", "m", "a7", 2, 2000, 1, False)
        report = NodeReport("w", "s", "z1", 9, {}, {}, [want], {}, {})
        self.coordinator.handle_report(report, ("10.0.0.2", 7000))
        order = LoadOrder("t1", "load", "m", "a7", 1, 0)
        self.coordinator._dispatch(order)
        [(address, notice)] = self.notices
        self.assertEqual(address, ("10.0.0.2", 7000))
        [load] = notice.loads
        self.assertEqual(
            (load.target_id, load.adapter, load.waiting), ("t1", "m/a7", 2)
        )
        self.assertGreater(load.ready_in_s, 0.0)


class TestEvacuation(CoordinatorTestCase):
    def setUp(self):
        super().setUp()
        self.ordered = []
        self.queried = []
        self.coordinator._order_dispatcher = self
        self.coordinator._orders = self
        self.coordinator._ruleset.services["draft"].engine = EngineRule(
            12, 50_000, 9, 17_000.0, 36.0, (ModelRule("m", 1.0, 1.0),), 3
        )
        self.targets = {"t1": target("t1"), "t2": target("t2", zone="z2")}

    def dispatch(self, order, zone, holder, fence):
        self.ordered.append(order.target_id)
        return "accepted"

    def read_state(self, target):
        self.queried.append(target.target_id)
        adapters = {("m", "a1"): 1} if target.target_id == "t1" else {}
        return TargetState(0, adapters, {}, ("m",), False)

    def plan_until(self, condition):
        ends_at = monotonic() + WAIT_S
        while monotonic() < ends_at and not condition():
            self.clock.now += 0.1
            want = Want("draft", "m", "a1", 1, 1400, 1, False)
            self.report(wants=[want], duties={"z1": (1, True)})
            self.coordinator.plan()
            sleep(0.01)
        self.assertTrue(condition())

    def test_adapter_held_only_in_the_zone_is_loaded_elsewhere(self):
        self.coordinator.set_targets(self.targets)
        self.plan_until(lambda: {"t1", "t2"} <= {*self.queried})
        self.assertEqual(self.ordered, [])
        self.coordinator.set_targets(self.targets, frozenset({"z1"}))
        # Queries that were under way.
        sleep(0.05)
        self.queried.clear()
        self.plan_until(lambda: self.ordered)
        self.assertEqual({*self.ordered}, {"t2"})
        self.assertNotIn("t1", self.queried)
        self.assertIn("t1", self.next_view().directory)

    def test_targets_are_queried_again_after_their_return(self):
        self.coordinator.set_targets(self.targets, frozenset({"z1"}))
        self.plan_until(lambda: "t2" in self.queried)
        self.coordinator.set_targets(self.targets)
        self.plan_until(lambda: "t1" in self.queried)


class DarkTargets:
    """Targets of which some don't answer, so that a call waits until it times out."""

    def __init__(self, dark):
        self._dark = dark
        self.most_calls_at_once = 0
        self._calls = Counter()

    def read_state(self, target):
        if target.target_id not in self._dark:
            return TargetState(0, {}, {}, ("m",), False)
        self._calls[target.target_id] += 1
        at_once = self._calls[target.target_id]
        self.most_calls_at_once = max(self.most_calls_at_once, at_once)
        sleep(0.4)
        self._calls[target.target_id] -= 1
        return None


class LosingDispatcher:
    """Duty holder that gets no answer to the orders to some targets."""

    def __init__(self, lossy):
        self._lossy = lossy
        self.ordered = {}

    def dispatch(self, order, zone, holder, fence):
        self.ordered.setdefault(order.adapter, monotonic())
        if order.target_id in self._lossy:
            sleep(0.6)
            return "lost"
        return "accepted"


class TestManyTargets(unittest.TestCase):
    """A sixth of 60 targets is dark, another sixth loses the answers to orders."""

    def setUp(self):
        names = [f"t{index}" for index in range(60)]
        self.orders = DarkTargets(set(names[:10]))
        self.dispatcher = LosingDispatcher(set(names[10:20]))
        self.coordinator = Coordinator(
            "c",
            "s",
            "10.0.0.9:7000",
            monotonic,
            Election(),
            self.dispatcher,
            self.orders,
            ("z1",),
            lambda address, body: None,
            8.0,
            lambda: (0.0, 0.0),
            LimitExchange(monotonic),
            CrashExchange(monotonic, lambda address: False, None, lambda: False),
            SpeedExchange(monotonic),
        )
        self.addCleanup(self.coordinator.close)
        rules = engine_rules()
        engine = EngineRule(
            12, 50_000, 9, 17_000.0, 36.0, (ModelRule("m", 1.0, 1.0),), 3
        )
        rules.services["draft"].engine = engine
        rules.accounts, rules.version = {}, 1
        self.coordinator.configure(rules)
        self.coordinator.set_targets({name: target(name) for name in names})
        self.coordinator.take_over({})

    def test_silent_targets_delay_no_loads_at_others(self):
        wanted_at = {}
        for number in range(1, 151):
            adapter = f"a{number}"
            wanted_at[adapter] = monotonic()
            recent = [f"a{n}" for n in range(max(1, number - 20), number + 1)]
            wants = [Want("draft", "m", a, 1, 1400, 1, False) for a in recent]
            report = NodeReport("n", "s", "z1", number, {}, {}, wants, {}, {})
            report.duties = {"z1": (1, True)}
            self.coordinator.handle_report(report, ADDRESS)
            sleep(0.02)
        # Targets are queried for the first time during the first loads.
        delays = [
            self.dispatcher.ordered.get(adapter, monotonic()) - at
            for adapter, at in wanted_at.items()
        ][30:]
        self.assertLess(sorted(delays)[len(delays) * 9 // 10], 0.1)
        self.assertEqual(self.orders.most_calls_at_once, 1)


class TestPlanningPause(CoordinatorTestCase):
    """A planning round that had to wait isn't followed by a long pause."""

    def test_round_that_waits_for_a_lock_does_not_delay_the_next_ones(self):
        planned = []
        plan = self.coordinator.plan

        def record_plan():
            planned.append(monotonic())
            plan()

        self.coordinator.plan = record_plan
        began_at = monotonic()
        with self.coordinator._lock:
            self.coordinator._plan_requested.set()
            while not planned and monotonic() < began_at + WAIT_S:
                sleep(0.01)
            sleep(1.0)
        released_at = monotonic()
        while len(planned) < 2 and monotonic() < released_at + WAIT_S:
            self.coordinator._plan_requested.set()
            sleep(0.01)
        # A pause of twice the time on the clock would take 2 s.
        self.assertLess(planned[1] - released_at, 1.0)


class TestViewRate(CoordinatorTestCase):
    node_count = 78

    def test_loads_do_not_make_the_coordinator_send_a_view_each_tick(self):
        intervals = 20
        ticks = round(intervals * exchange_interval_s(self.node_count) / TICK_S)
        for _ in range(ticks):
            self.clock.now += TICK_S
            self.coordinator.hasten_view()
            self.coordinator.tick()
        sent = len({view.number for view in self.views})
        self.assertGreaterEqual(sent, intervals)
        self.assertLessEqual(sent, 2 * intervals + 1)


class TestLoansOfRetries(CoordinatorTestCase):
    node_count = 20
    LOAN = RetryLoan("s", 7, "draft")

    def setUp(self):
        super().setUp()
        self.notices = []
        # The loans of a predecessor may still be used until then.
        self.clock.now += 11.0

    def _send(self, address, body):
        if isinstance(body, SendNotice):
            self.notices.append((address, body))
        else:
            super()._send(address, body)

    def ask(self):
        """Return the loans that the coordinator sends for a request."""
        self.notices.clear()
        self.coordinator.handle_loan_request(self.LOAN, ADDRESS)
        return self.notices

    def test_loan_is_sent_to_the_node_that_asks(self):
        self.report(requests={"draft": 3})
        self.next_view()
        self.assertEqual(self.ask(), [(ADDRESS, SendNotice([], loan=self.LOAN))])

    def test_nodes_of_older_builds_tell_no_requests(self):
        self.report()
        self.next_view()
        self.assertEqual(self.ask(), [])

    def test_nothing_is_lent_without_a_lease(self):
        self.report(requests={"draft": 3})
        self.next_view()
        self.election.leads = False
        self.assertEqual(self.ask(), [])

    def test_successor_lends_nothing_at_first(self):
        self.coordinator.take_over({})
        self.report(requests={"draft": 3})
        self.next_view()
        self.assertEqual(self.ask(), [])


if __name__ == "__main__":
    unittest.main()
