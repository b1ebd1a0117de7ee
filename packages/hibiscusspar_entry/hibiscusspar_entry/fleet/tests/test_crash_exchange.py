"""Tests of the exchange of crashes and verdicts between nodes."""

import unittest
from collections import Counter
from functools import partial

from msgspec import Struct
from msgspec.json import decode, encode

from hibiscusspar.fleet.messages import CrashRow, FleetView, NodeReport, QuarantineRow
from hibiscusspar.requests.quarantine import PART_POLICY
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.tests.crash_network import (
    STABLE_WINDOW_S,
    CrashNetwork,
    NetworkFaults,
    run_part_day,
)
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target, view

# Attempts allowed later than the stable window after the third crash.
MAX_LATER_ATTEMPTS = 3
FATAL = ["acme-fatal"]
SOUND = ["acme-sound"]
POOR_NETWORK = NetworkFaults(lost=0.4, doubled=0.1, late=0.2)


class TestRequestCrashesTargetsOfAFleet(unittest.TestCase):
    def run_day(self, size, faults, seed):
        network = CrashNetwork(size, faults, seed)
        network.run(2.0)
        for _ in range(100):
            network.request(FATAL)
            network.run(network.rng.uniform(0.1, 1.2))
        return network

    def check(self, size, faults):
        for seed in range(3):
            with self.subTest(size=size, seed=seed):
                network = self.run_day(size, faults, seed)
                late = network.late_attempts(3, STABLE_WINDOW_S)
                self.assertGreaterEqual(len(network.crashed_at), 2)
                self.assertLessEqual(len(late), MAX_LATER_ATTEMPTS)
                self.assertEqual(network.refusing(FATAL), size)
                self.assertEqual(network.refusing(SOUND), 0)

    def test_nine_nodes(self):
        self.check(9, NetworkFaults())

    def test_nine_nodes_on_a_poor_network(self):
        self.check(9, POOR_NETWORK)

    def test_seventy_eight_nodes_on_a_poor_network(self):
        self.check(78, POOR_NETWORK)

    def test_360_nodes_on_a_poor_network(self):
        network = self.run_day(360, POOR_NETWORK, 1)
        late = network.late_attempts(3, STABLE_WINDOW_S)
        self.assertLessEqual(len(late), MAX_LATER_ATTEMPTS)
        self.assertEqual(network.refusing(FATAL), 360)

    def test_coordinators_that_follow_each_other(self):
        network = CrashNetwork(9, POOR_NETWORK)
        for _ in range(40):
            network.request(FATAL)
            network.run(1.0)
            network.replace_coordinator()
        late = network.late_attempts(3, STABLE_WINDOW_S)
        self.assertLessEqual(len(late), MAX_LATER_ATTEMPTS)


class TestPromptPartCrashesTargetsOfAFleet(unittest.TestCase):
    def check(self, size, faults, seed=1):
        network, early, late = run_part_day(size, faults, seed)
        sent = network.late_attempts(5, STABLE_WINDOW_S)
        self.assertGreaterEqual(len(network.crashed_at), 3)
        self.assertLessEqual(len(sent), MAX_LATER_ATTEMPTS)
        self.assertGreater(early, 0.8)
        self.assertGreater(late, 0.95)

    def test_nine_nodes(self):
        for seed in range(3):
            self.check(9, NetworkFaults(), seed)

    def test_nine_nodes_on_a_poor_network(self):
        for seed in range(3):
            self.check(9, POOR_NETWORK, seed)

    def test_seventy_eight_nodes_on_a_poor_network(self):
        self.check(78, POOR_NETWORK)

    def test_360_nodes_on_a_poor_network(self):
        self.check(360, POOR_NETWORK)


class TestFatalRequestsBesideAFatalPart(unittest.TestCase):
    """Guards against a sound part that is refused as all fatal requests have it."""

    def play(self, fatal, size, faults, seed, was_answered, first):
        """Return the share of sound requests that are served, and late attempts.

        Late attempts are counted by request, those with the fatal part together.

        Parameters
        ----------
        fatal : list of tuple
            Times at which fatal requests come every 2 s, and functions that return
            their suspects, given a number.
        size : int
        faults : NetworkFaults
        seed : int
        was_answered : bool
            Whether there were sound requests long before the fatal ones.
        first : tuple of str
            Parts that all requests have.
        """
        network = CrashNetwork(size, faults, seed)
        network.run(2.0)
        for number in range(60 if was_answered else 0):
            network.sound_request(self.sound(number, first))
            network.run(0.1)
        network.run(PART_POLICY.answer_s + 2.0)
        for number in range(10):
            for at, suspects in fatal:
                name, *parts = suspects(number)
                network.call_later(
                    at + 2.0 * number,
                    partial(network.request, [name, *first, *parts]),
                )
        # Sound requests pause until the first targets have crashed.
        network.run(3.0)
        served = []
        for number in range(170):
            crashes = sorted(network.crashed_at)[:5]
            is_served = network.sound_request(self.sound(number, first))
            if network.clock.now > crashes[-1] + 2 * STABLE_WINDOW_S:
                served.append(is_served)
            network.run(0.1)
        late = Counter(
            sent.request.partition("/")[0]
            for sent in network.late_attempts(5, STABLE_WINDOW_S)
        )
        return sum(served) / len(served), late

    def check(
        self, *fatal, size=3, faults=None, was_answered=True, first=("part-first",)
    ):
        for seed in range(5):
            with self.subTest(seed=seed):
                share, late = self.play(fatal, size, faults, seed, was_answered, first)
                self.assertGreater(share, 0.5)
                self.assertLessEqual(max(late.values(), default=0), MAX_LATER_ATTEMPTS)

    @staticmethod
    def sound(number, first):
        return [f"acme-{number}", *first, f"part-s{number % 3}"]

    @staticmethod
    def request(_number):
        return ["acme-fatal", "part-s0"]

    @staticmethod
    def other_request(_number):
        return ["acme-other"]

    @staticmethod
    def part(number):
        return [f"acme-p/{number}", "part-bad"]

    def test_request_and_part(self):
        self.check((0.0, self.request), (0.0, self.part))

    def test_request_and_part_after_a_restart_of_all_nodes(self):
        fatal = (0.0, self.request), (0.0, self.part)
        self.check(*fatal, was_answered=False)

    def test_request_and_part_on_a_poor_network(self):
        fatal = (0.0, self.request), (0.0, self.part)
        self.check(*fatal, size=9, faults=POOR_NETWORK)

    def test_request_and_part_after_each_other(self):
        self.check((0.0, self.request), (1.3, self.part))
        self.check((1.3, self.request), (0.0, self.part))

    def test_request_and_part_behind_two_sound_parts(self):
        first = ("part-first", "part-second")
        self.check((0.0, self.request), (0.0, self.part), first=first)

    def test_two_requests(self):
        self.check((0.0, self.request), (0.0, self.other_request))
        self.check((0.0, self.request), (1.3, self.other_request))

    def test_two_requests_and_part(self):
        fatal = (0.0, self.request), (0.0, self.other_request), (0.0, self.part)
        self.check(*fatal)

    def test_three_requests(self):
        third = (2.6, lambda number: ["acme-third"])
        self.check((0.0, self.request), (1.3, self.other_request), third)


class TestFatalFirstPart(unittest.TestCase):
    def test_part_of_all_requests_is_refused(self):
        """Guards against early probes that crash one target after another."""
        for seed in range(5):
            network = CrashNetwork(3, seed=seed)
            network.run(2.0)
            for number in range(60):
                network.sound_request([f"acme-{number}", "part-first"])
                network.run(0.1)
            network.run(PART_POLICY.answer_s + 2.0)
            for number in range(200):
                network.request([f"acme-f{number}", "part-first", f"part-{number % 3}"])
                network.run(0.1)
            late = network.late_attempts(5, STABLE_WINDOW_S)
            self.assertLessEqual(len(late), MAX_LATER_ATTEMPTS)
            self.assertEqual(network.refusing(["acme-new", "part-first"]), 3)


class TestFatalPartAlone(unittest.TestCase):
    def test_no_target_crashes_under_an_early_probe(self):
        """Guards against requests that are taken for the cause beside a fatal part."""
        for seed in range(5):
            network, _, _ = run_part_day(9, NetworkFaults(), seed)
            self.assertEqual(network.late_attempts(5, STABLE_WINDOW_S), [])


class ExchangeTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.refuses = True
        self.leads = False
        self.later = []
        self.exchange = self.make()

    def make(self):
        return CrashExchange(
            self.clock,
            lambda target: self.refuses,
            lambda delay_s, function: self.later.append(function),
            lambda: self.leads,
        )

    def break_at(self, name, suspects, **fields):
        self.exchange.record_break(target(name, **fields), suspects)
        self.run_later()

    def run_later(self):
        while self.later:
            self.later.pop()()

    def report(self, number, exchange=None):
        report = NodeReport("n1", "s", "z", number, {}, {}, [], {}, {})
        (exchange or self.exchange).complete_report(report)
        return report

    def view(self, rows=(), acked=0, node="c"):
        message = view(acked={"n1": acked})
        message.node, message.quarantined = node, list(rows)
        return message


class TestEvidence(ExchangeTestCase):
    def crash_twice(self):
        self.break_at("t1", FATAL)
        self.break_at("t2", FATAL)

    def test_two_crashes_refuse_a_request(self):
        self.break_at("t1", FATAL)
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        self.break_at("t2", FATAL)
        self.assertGreater(self.exchange.refused_for(*FATAL), 0.0)
        self.assertEqual(self.exchange.refused_for(*SOUND), 0.0)

    def test_broken_connection_alone_is_no_crash(self):
        self.refuses = False
        self.crash_twice()
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        self.assertEqual(self.report(1).crashes, [])

    def test_directory_confirms_a_crash(self):
        self.refuses = False
        self.crash_twice()
        restarted = {"t1": target("t1", born=2), "t2": target("t2", born=2)}
        self.exchange.set_targets(restarted)
        self.assertGreater(self.exchange.refused_for(*FATAL), 0.0)

    def test_refused_connection_of_another_request_confirms_a_crash(self):
        self.refuses = False
        self.crash_twice()
        self.refuses = True
        for name in ("t1", "t2"):
            self.exchange.record_refused_connection(target(name))
        self.run_later()
        self.assertGreater(self.exchange.refused_for(*FATAL), 0.0)

    def test_connection_refused_on_a_cut_path_confirms_no_crash(self):
        self.refuses = False
        self.crash_twice()
        for name in ("t1", "t2"):
            self.exchange.record_refused_connection(target(name))
        self.run_later()
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        self.assertEqual(self.exchange.crash_count, 0)

    def test_target_that_leaves_accuses_nobody(self):
        self.break_at("t1", FATAL, draining=True)
        self.break_at("t2", FATAL, draining=True)
        self.exchange.set_targets({})
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)

    def test_requests_that_break_off_together_are_one_crash(self):
        for _ in range(5):
            self.break_at("t1", FATAL)
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        self.assertEqual(self.exchange.crash_count, 1)

    def test_answer_lifts_the_quarantine_at_all_nodes(self):
        self.crash_twice()
        other = self.make()
        other.apply_report(self.report(1))
        self.assertGreater(other.refused_for(*FATAL), 0.0)
        other.due_verdicts(1)
        self.clock.now += 1.0
        self.exchange.record_answer(FATAL)
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        other.apply_report(self.report(2))
        self.assertEqual(other.refused_for(*FATAL), 0.0)
        (row,) = other.due_verdicts(2)
        self.assertEqual((row.suspect, row.crashes), (FATAL[0], 0))

    def test_verdict_of_others_is_disputed_with_an_own_answer(self):
        self.exchange.record_answer(FATAL)
        self.exchange.apply_view(
            self.view([QuarantineRow(FATAL[0], 2, 5.0, 1.0)]), "n1"
        )
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)
        self.assertIn(FATAL[0], self.report(1).answered)


class TestProbes(ExchangeTestCase):
    def setUp(self):
        super().setUp()
        self.leads = True
        self.break_at("t1", FATAL)
        self.break_at("t2", FATAL)

    def test_sound_request_is_cleared_by_a_probe(self):
        self.assertFalse(self.exchange.start_probe(*FATAL))
        self.clock.now += 10.0
        self.assertGreater(self.exchange.refused_for(*FATAL), 0.0)
        self.assertTrue(self.exchange.start_probe(*FATAL))
        self.exchange.record_answer(FATAL)
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)

    def test_only_one_request_of_one_node_tries(self):
        self.clock.now += 10.0
        self.leads = False
        self.assertFalse(self.exchange.start_probe(*FATAL))
        self.leads = True
        tried = [self.exchange.start_probe(*FATAL) for _ in range(5)]
        self.assertEqual(tried, [True, False, False, False, False])

    def test_probe_that_got_no_target_is_repeated(self):
        self.clock.now += 10.0
        self.assertTrue(self.exchange.start_probe(*FATAL))
        self.clock.now += 10.0
        self.assertTrue(self.exchange.start_probe(*FATAL))

    def test_probe_that_crashes_its_target_is_repeated_ever_later(self):
        waits = []
        for number in range(4):
            before = self.clock.now
            while not self.exchange.start_probe(*FATAL):
                self.clock.now += 10.0
            waits.append(self.clock.now - before)
            self.break_at(f"p{number}", FATAL)
        self.assertEqual(waits, [10.0, 20.0, 3600.0, 86_400.0])

    def test_retry_delay_is_the_time_until_the_next_probe(self):
        self.assertEqual(self.exchange.retry_in_s(*FATAL), 10.0)
        self.break_at("t3", FATAL)
        self.clock.now += 5.0
        self.assertEqual(self.exchange.retry_in_s(*FATAL), 15.0)


class TestReports(ExchangeTestCase):
    def setUp(self):
        super().setUp()
        self.break_at("t1", FATAL)

    def test_crash_is_reported_until_a_view_answers(self):
        self.exchange.apply_view(self.view(), "n1")
        for number in (1, 2, 3):
            (row,) = self.report(number).crashes
            self.assertEqual((row.target_id, row.suspects), ("t1", FATAL))
            self.exchange.apply_view(self.view(), "n1")
        self.exchange.apply_view(self.view(acked=1), "n1")
        self.assertEqual(self.report(4).crashes, [])

    def test_crash_is_reported_again_to_the_next_coordinator(self):
        self.report(1)
        self.exchange.apply_view(self.view(acked=1), "n1")
        self.exchange.apply_view(self.view(acked=1, node="d"), "n1")
        self.assertEqual(len(self.report(2).crashes), 1)

    def test_repeated_report_counts_once(self):
        other = self.make()
        for number in (1, 2, 3):
            other.apply_report(self.report(number))
        self.assertEqual(other.refused_for(*FATAL), 0.0)

    def test_verdict_of_a_view_is_kept_and_passed_on(self):
        row = QuarantineRow(FATAL[0], 2, 5.0, 1.0)
        self.exchange.apply_view(self.view([row]), "n1")
        self.assertGreater(self.exchange.refused_for(*FATAL), 0.0)
        self.assertEqual(
            self.exchange.due_verdicts(1), [QuarantineRow(FATAL[0], 2, 5.0, 0.0)]
        )


class TestSoundPartIsRefusedByARestartedNode(ExchangeTestCase):
    """Guards against a node that isn't told that a part which it suspects is sound."""

    def setUp(self):
        super().setUp()
        self.coordinator = self.make()
        self.coordinator.record_answer(["part-good"])
        self.clock.now += 1.0
        # Fatal requests crash three targets before this node has an answer.
        for number, fatal in enumerate(["part-a", "part-b", "part-b"]):
            self.break_at(f"t{number}", ["part-good", fatal])

    def is_refused(self):
        return self.exchange.refused_for("acme-1", ["part-good"]) > 0

    def exchange_messages(self, number):
        self.coordinator.apply_report(self.report(number))
        rows = self.coordinator.due_verdicts(number)
        self.exchange.apply_view(self.view(rows), "n1")
        return rows

    def test_coordinator_that_has_an_answer_lifts_the_quarantine(self):
        self.assertTrue(self.is_refused())
        self.exchange_messages(1)
        self.assertFalse(self.is_refused())

    def test_quarantine_holds_if_the_answer_is_old(self):
        self.clock.now += 60.0
        for number, fatal in enumerate(["part-a", "part-b", "part-b"]):
            self.break_at(f"s{number}", ["part-good", fatal])
        rows = self.exchange_messages(1)
        self.assertEqual([row for row in rows if row.crashes == 0], [])
        self.assertTrue(self.is_refused())


class TestQuarantineIsLiftedWhileANodeIsOutOfReach(unittest.TestCase):
    """Guards against nodes that refuse what all others serve again."""

    def lift_while_cut_off(self, answered_by):
        """Return the number of nodes that refuse a sound part after all."""
        network = CrashNetwork(3)
        network.run(2.0)
        reporter, away = network.nodes[1:]
        for number, fatal in enumerate(["part-a", "part-b", "part-b", "part-b"]):
            suspects = ["part-good", fatal]
            reporter.exchange.record_break(target(f"t{number}"), suspects)
            network.run(0.2)
        network.run(1.0)
        self.assertEqual(network.refusing(["acme-1", "part-good"]), 3)
        network.cut = {away.name}
        network.nodes[answered_by].exchange.record_answer(["part-good"])
        network.run(4.0)
        network.cut = set()
        network.run(6.0)
        self.assertEqual(network.refusing(["acme-1", "part-b"]), 3)
        return network.refusing(["acme-1", "part-good"])

    def test_answer_of_the_coordinator(self):
        self.assertEqual(self.lift_while_cut_off(0), 0)

    def test_answer_of_another_node(self):
        self.assertEqual(self.lift_while_cut_off(1), 0)


class TestVerdictThatNoViewTells(ExchangeTestCase):
    def setUp(self):
        super().setUp()
        row = QuarantineRow(FATAL[0], 2, 5.0, 1.0)
        self.exchange.apply_verdicts([row], "store")

    def test_node_asks_whether_it_holds(self):
        self.assertEqual(self.report(1).refused, {FATAL[0]: 1.0})

    def test_node_doesnt_ask_after_a_view_has_told_it(self):
        row = QuarantineRow(FATAL[0], 2, 5.0, 1.0)
        self.exchange.apply_view(self.view([row]), "n1")
        self.assertEqual(self.report(1).refused, {})
        self.clock.now += 6.0
        self.assertEqual(list(self.report(2).refused), FATAL)

    def test_it_holds_unless_the_coordinator_has_an_answer(self):
        other = self.make()
        other.apply_report(self.report(1))
        self.assertEqual(other.due_verdicts(1), [])
        other.record_answer(FATAL)
        self.clock.now += 1.0
        other.apply_report(self.report(2))
        self.exchange.apply_view(self.view(other.due_verdicts(2)), "n1")
        self.assertEqual(self.exchange.refused_for(*FATAL), 0.0)

    def test_it_holds_if_the_answer_came_long_before_the_crashes(self):
        other = self.make()
        other.record_answer(FATAL)
        self.clock.now += 60.0
        row = QuarantineRow(FATAL[0], 3, 5.0, 1.0)
        self.exchange.apply_verdicts([row], "store")
        other.apply_report(self.report(1))
        self.assertEqual(other.due_verdicts(1), [])

    def test_it_holds_if_later_crashes_count(self):
        """The coordinator has an answer since the crashes that the node knows."""
        other = self.make()
        other.record_answer(FATAL)
        self.clock.now += 60.0
        row = QuarantineRow(FATAL[0], 2, 5.0, 1.0)
        other.apply_view(self.view([row]), "n2")
        report = self.report(1)
        self.assertEqual(report.refused, {FATAL[0]: 61.0})
        other.apply_report(report)
        self.assertGreater(other.refused_for(*FATAL), 0.0)
        (row,) = other.due_verdicts(1)
        self.assertEqual((row.suspect, row.crashes), (FATAL[0], 2))

    def test_all_verdicts_are_asked_for_in_turn(self):
        rows = [QuarantineRow(f"acme-{n}", 2, 5.0, 1.0) for n in range(9)]
        self.exchange.apply_verdicts(rows, "store")
        asked = set()
        for number in range(3):
            asked |= self.report(number).refused.keys()
            self.clock.now += 1.0
        self.assertEqual(len(asked), 10)


class TestViews(ExchangeTestCase):
    def sizes(self, views):
        return [len(self.exchange.due_verdicts(number)) for number in range(views)]

    def test_many_suspects_dont_fill_the_views(self):
        self.break_at("t1", [f"part-{n}" for n in range(30)])
        sizes = self.sizes(30)
        self.assertLessEqual(max(sizes), 16)
        self.assertLessEqual(max(sizes[10:]), 4)
        self.clock.now += 30.0
        self.assertEqual(self.sizes(3), [0, 0, 0])

    def test_part_that_another_node_answered_is_never_refused(self):
        other = self.make()
        other.record_answer(["part-good"])
        for number in range(1, 4):
            self.break_at(f"t{number}", ["part-good", "part-bad"])
            other.apply_view(self.view(self.exchange.due_verdicts(number)), "n1")
            self.assertEqual(other.refused_for("acme-1", ["part-good"]), 0.0)
            self.exchange.apply_report(self.report(number, other))
            self.assertEqual(self.exchange.refused_for("acme-1", ["part-good"]), 0.0)
        self.assertGreater(self.exchange.refused_for("acme-1", ["part-bad"]), 0.0)

    def test_answers_of_suspects_that_no_view_told_are_not_told_either(self):
        names = [f"acme-{n}" for n in range(50)]
        self.break_at("t1", names)
        self.exchange.record_answer(names)
        self.assertEqual(self.sizes(5), [0] * 5)

    def test_many_answers_dont_fill_a_report(self):
        names = [f"acme-{n}" for n in range(500)]
        for n in range(0, 500, 50):
            self.break_at(f"t{n}", names[n : n + 50])
        self.exchange.record_answer(names)
        report = self.report(1)
        self.assertEqual(len(report.answered), 64)
        self.assertLess(len(encode(report)), 40_000)

    def test_many_verdicts_are_all_repeated(self):
        names = [f"acme-{n}" for n in range(40)]
        for name in names:
            self.break_at(f"t1{name}", [name])
            self.break_at(f"t2{name}", [name])
        self.sizes(20)
        repeated = {
            row.suspect
            for number in range(10)
            for row in self.exchange.due_verdicts(number)
        }
        self.assertEqual(repeated, set(names))


class TestOlderBuilds(unittest.TestCase):
    def test_messages_without_crashes_are_understood(self):
        report = decode(
            b'{"type":"report","node":"n","start":"s","zone":"z","number":1,'
            b'"loads":{},"in_use":{},"wants":[],"used":{},"duties":{}}',
            type=NodeReport,
        )
        self.assertEqual((report.crashes, report.answered), ([], {}))
        fields = decode(encode(view()))
        del fields["quarantined"]
        self.assertEqual(decode(encode(fields), type=FleetView).quarantined, [])

    def test_older_builds_ignore_crashes(self):
        class OldReport(Struct, tag="report"):
            node: str

        report = NodeReport("n", "s", "z", 1, {}, {}, [], {}, {})
        report.crashes = [CrashRow("t1", 1, 0.5, FATAL)]
        self.assertEqual(decode(encode(report), type=OldReport).node, "n")
