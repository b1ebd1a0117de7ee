"""Tests of the synchronization with the store."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock, patch

from hibiscusspar.fleet.targets import Target, TargetDirectory
from hibiscusspar_entry.fleet.own_reads import OwnReads
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.store_sync import (
    ConfigSync,
    TargetSync,
    VersionSync,
    ViewOrigin,
)
from hibiscusspar_entry.fleet.store_watch import StoreWatch
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock
from hibiscusspar_wire.platform_errors import (
    CompactedError,
    RefusedError,
    StoreReplacedError,
    UnknownOutcomeError,
)

EXPIRY_S = 2.4


def stored(name, value, revision=1):
    return SimpleNamespace(name=name, value=value, revision=revision)


def rules(version):
    return SimpleNamespace(version=version, routes={}, accounts={})


class Codec:
    config_name = "main"

    def decode_ruleset(self, value):
        if value == "bad":
            raise ValueError("can't be read")
        return rules(value)

    def decode_target(self, name, value):
        if value is None:
            return None
        return Target(name, "s", "10.0.0.1:80", "z", 8, value, 1, 0, {}, {})


class TestConfigSync(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.applied = []
        self.sync = ConfigSync(Codec(), self.clock, self.applied.append)

    def versions(self):
        return [ruleset.version for ruleset in self.applied]

    def test_older_versions_are_never_applied(self):
        for version in (3, 5, 4, 5, 9):
            self.sync.on_changes([(False, stored("main", version))], self.clock.now)
        self.assertEqual(self.versions(), [3, 5, 9])

    def test_invalid_configuration_keeps_the_previous_one(self):
        self.sync.on_listing([stored("main", 3)], self.clock.now)
        self.sync.on_changes([(False, stored("main", "bad"))], self.clock.now)
        self.assertEqual(self.sync.ruleset.version, 3)

    def test_age_counts_from_when_the_call_was_sent(self):
        sent_at = self.clock.now
        self.clock.now += 0.8
        self.sync.on_changes([], sent_at)
        self.assertAlmostEqual(self.sync.age_s, 0.8)

    def test_deleted_configuration_stays_in_force(self):
        self.sync.on_listing([stored("main", 3)], self.clock.now)
        self.sync.on_changes([(True, stored("main", None))], self.clock.now)
        self.assertEqual(self.sync.ruleset.version, 3)


class TestTargetSync(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.rows = {}
        self.sync = TargetSync(
            Codec(), self.clock, TargetDirectory(), self._publish, EXPIRY_S
        )

    def _publish(self, rows):
        self.rows = rows

    def test_entry_that_becomes_invalid_removes_its_target(self):
        self.sync.on_listing([stored("a", False), stored("b", False)], self.clock.now)
        self.sync.on_changes([(False, stored("a", None))], self.clock.now)
        self.assertEqual(sorted(self.rows), ["b"])

    def test_entries_that_expired_in_an_outage_stay_until_their_targets_are_back(self):
        self.sync.on_listing([stored("a", False), stored("b", False)], self.clock.now)
        self.clock.now += EXPIRY_S
        self.sync.on_store_returned()
        self.sync.on_listing([], self.clock.now)
        self.assertEqual(sorted(self.rows), ["a", "b"])
        self.clock.now += 1.0
        self.sync.on_changes([(False, stored("a", False))], self.clock.now)
        self.clock.now += 2.0
        self.sync.on_changes([], self.clock.now)
        self.assertEqual(sorted(self.rows), ["a"])

    def test_target_removed_after_a_short_outage_is_dropped_at_once(self):
        self.sync.on_listing([stored("a", False)], self.clock.now)
        self.clock.now += 0.5
        self.sync.on_store_returned()
        self.sync.on_listing([stored("a", False)], self.clock.now)
        self.sync.on_changes([(True, stored("a", None))], self.clock.now)
        self.assertEqual(self.rows, {})

    def test_target_removed_while_views_replaced_the_store_is_dropped_at_once(self):
        self.sync.on_listing([stored("a", False)], self.clock.now)
        self.clock.now += 17.0
        row = Target("a", "s", "10.0.0.1:80", "z", 8, False, 1, 0, {}, {})
        self.sync.apply_relayed([row], self.clock.now, ViewOrigin("c", "s", 1))
        self.clock.now += 0.2
        self.sync.on_store_returned()
        self.sync.on_listing([], self.clock.now)
        self.assertEqual(self.rows, {})


class Store:
    """Store that returns scripted answers and raises those that are errors."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def list(self, kind):
        return self._next(("list",))

    def watch(self, kind, since, wait_s):
        return self._next(("watch", since))

    def _next(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class RecordingHandler:
    def __init__(self):
        self.seen = []

    def on_listing(self, objects, sent_at):
        self.seen.append(("listed", len(objects)))

    def on_changes(self, events, sent_at):
        self.seen.append(("changed", len(events)))

    def on_store_returned(self, is_older=False):
        self.seen.append(("older",) if is_older else ("returned",))


LISTING = SimpleNamespace(objects=[1, 2], revision=10)
CHANGES = SimpleNamespace(events=[(False, stored("x", 1, 12))], revision=15)
# Answer of a watch that lost changes: a newer revision without an event.
LOST_CHANGES = SimpleNamespace(events=[], revision=30)


class TestVersionSync(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.announced = []
        codec = SimpleNamespace(decode_version=lambda value: value)
        self.sync = VersionSync(
            codec, self.clock, lambda *announcement: self.announced.append(announcement)
        )

    def test_listed_version_may_be_of_any_age(self):
        self.sync.on_listing([stored("m.a1", ("m", "a1", 2))], self.clock.now)
        self.assertEqual(self.announced, [(("m", "a1"), 2, float("inf"))])

    def test_changed_version_is_younger_than_the_call(self):
        sent_at = self.clock.now
        self.clock.now += 0.7
        self.sync.on_changes([(False, stored("m.a1", ("m", "a1", 2)))], sent_at)
        self.assertAlmostEqual(self.announced[0][2], 0.7)


class SlowStore:
    """Store whose listings take some seconds."""

    def __init__(self, clock, seconds):
        self._clock, self._seconds = clock, seconds

    def list(self, _kind):
        self._clock.now += self._seconds
        return LISTING


class TestStoreWatch(unittest.TestCase):
    def make_watch(self, *answers):
        self.handler = RecordingHandler()
        self.store = Store(*answers)
        clock = Clock()
        backoff = StoreBackoff(clock, Random(3), lambda: 9, lambda: False)
        return StoreWatch(
            self.store, "servers", clock, 1.0, 0.0, self.handler, lambda: False, backoff
        )

    def limited_watch(self, leads, read_for_s):
        """Return a watch of a node without views that has run for some seconds."""
        clock = Clock()
        reads = OwnReads(clock, lambda: leads, lambda: None, int, lambda: True, 0.5)
        store = SlowStore(clock, read_for_s)
        backoff = StoreBackoff(clock, Random(3), lambda: 9, lambda: False)
        return StoreWatch(
            store,
            "servers",
            clock,
            0.5,
            0.15,
            RecordingHandler(),
            lambda: False,
            backoff,
            own_reads=reads,
            limit_s=1.44,
        )

    def test_node_without_views_reads_again_within_the_limit(self):
        # A leaving target must be known in time also where each call returns at once.
        for took_s, pause_s in ((0.0, 0.94), (0.4, 0.54), (1.2, 0.15)):
            watch = self.limited_watch(False, took_s)
            self.assertAlmostEqual(watch.poll_once(), pause_s)

    def test_node_that_reads_for_all_reads_as_often_as_before(self):
        self.assertEqual(self.limited_watch(True, 0.0).poll_once(), 0.15)

    def test_error_outside_a_call_ends_no_watch(self):
        """Guards against a node that goes on with an old configuration."""
        for part, name in (("", "_is_relayed"), ("_own_reads", "is_held")):
            with self.subTest(name=name):
                watch = self.make_watch(LISTING)
                watch._wait_s = 0.05
                # The third step ends the thread.
                watch._is_relayed = Mock(side_effect=[False, False, SystemExit])
                failing = Mock(side_effect=[KeyError("n1"), False, SystemExit])
                setattr(getattr(watch, part) if part else watch, name, failing)
                with patch(f"{StoreWatch.__module__}.log_failure") as log_failure:
                    watch.start()
                    watch._thread.join(2.0)
                log_failure.assert_called_once()
                self.assertEqual(self.store.calls, [("list",)])

    def poll(self, watch, count):
        for _ in range(count):
            watch.poll_once()

    def test_lists_then_watches_from_the_listing(self):
        watch = self.make_watch(LISTING, CHANGES, CHANGES)
        self.poll(watch, 3)
        self.assertEqual(self.store.calls, [("list",), ("watch", 10), ("watch", 12)])

    def test_watch_continues_after_the_last_delivered_change(self):
        watch = self.make_watch(LISTING, LOST_CHANGES, CHANGES, CHANGES)
        self.poll(watch, 4)
        self.assertEqual(
            self.store.calls, [("list",), ("watch", 10), ("watch", 10), ("watch", 12)]
        )

    def test_listing_follows_a_change_if_it_must_be_confirmed(self):
        # A deletion with an old revision would be returned again by each watch.
        deletion = SimpleNamespace(events=[(True, stored("a", 1, 9))], revision=13)
        watch = self.make_watch(LISTING, deletion, deletion)
        self.poll(watch, 3)
        self.assertEqual(self.store.calls[1:], [("watch", 10), ("watch", 10)])
        watch = self.make_watch(LISTING, deletion, LISTING, CHANGES)
        watch.lists_after_changes = True
        self.poll(watch, 4)
        calls = [("list",), ("watch", 10), ("list",), ("watch", 10)]
        self.assertEqual(self.store.calls, calls)

    def test_compacted_history_is_replaced_by_a_listing(self):
        watch = self.make_watch(LISTING, CompactedError("s", "p", "gone"), LISTING)
        self.poll(watch, 3)
        self.assertEqual(self.store.calls[-1], ("list",))

    def test_older_copy_is_listed_and_reported(self):
        replaced = StoreReplacedError("s", "p", "era 2 of the store after 1")
        watch = self.make_watch(LISTING, replaced, LISTING)
        self.poll(watch, 3)
        self.assertEqual(self.handler.seen, [("listed", 2), ("older",), ("listed", 2)])

    def test_end_of_an_outage_is_reported(self):
        watch = self.make_watch(
            LISTING, RefusedError("s", "p", "503"), LISTING, CHANGES
        )
        self.poll(watch, 4)
        self.assertEqual(
            self.handler.seen,
            [("listed", 2), ("returned",), ("listed", 2), ("changed", 1)],
        )

    def test_silent_store_is_listed_until_it_answers(self):
        lost = UnknownOutcomeError("s", "p", "silent")
        watch = self.make_watch(LISTING, lost, lost, LISTING)
        self.poll(watch, 4)
        self.assertEqual(
            self.store.calls, [("list",), ("watch", 10), ("list",), ("list",)]
        )
