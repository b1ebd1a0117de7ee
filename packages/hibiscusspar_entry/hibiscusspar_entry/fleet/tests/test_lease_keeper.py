"""Tests of the leases in the store."""

import unittest
from random import Random
from types import SimpleNamespace

from hibiscusspar.fleet.lease import Election, LeaseTiming
from hibiscusspar_entry.fleet.lease_keeper import LeaseKeeper
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock
from hibiscusspar_wire.platform_errors import ConflictError, RefusedError


class OneObjectStore:
    """Store of one object whose writes are conditional on its revision."""

    def __init__(self):
        self.value = None
        self.revision = 0
        self.era = 0

    def get(self, _kind, name):
        if self.value is None:
            return None
        return SimpleNamespace(name=name, value=self.value, revision=self.revision)

    def create(self, kind, name, value):
        return self.update(kind, name, value, 0)

    def update(self, _kind, name, value, revision):
        if revision != self.revision:
            raise ConflictError("store.update", name, "answered 409", 0)
        self.value = dict(value)
        self.revision += 1
        return self.revision


def backoff(clock):
    return StoreBackoff(clock, Random(3), lambda: 9, lambda: False)


class TestLevels(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = OneObjectStore()

    def lease_keeper(self, machine, levels):
        election = Election(machine, "s1", f"{machine}:1", LeaseTiming())
        return LeaseKeeper(
            "coordinator",
            election,
            self.store,
            self.clock,
            lambda: False,
            backoff(self.clock),
            levels,
        )

    def run_for(self, lease_keeper, seconds):
        for _ in range(int(seconds / 0.1)):
            lease_keeper.step()
            self.clock.now += 0.1

    def test_successor_without_a_view_gets_the_levels_of_the_last_renewal(self):
        # All processes are killed at once while callers go on, so that no process has
        # received the levels in a view. Only the lease still has them.
        first = self.lease_keeper("a", lambda: {"acme": 250.0})
        self.run_for(first, 3.0)
        self.assertTrue(first.election.leads)
        second = self.lease_keeper("b", dict)
        self.run_for(second, 5.0)
        self.assertTrue(second.election.leads)
        self.assertEqual(second.stored_levels, {"acme": 250.0})

    def test_object_of_another_writer_is_replaced(self):
        self.store.update("", "", {"levels": "many", "nonce": []}, 0)
        lease_keeper = self.lease_keeper("a", dict)
        self.run_for(lease_keeper, 5.0)
        self.assertTrue(lease_keeper.election.leads)
        self.assertEqual(lease_keeper.stored_levels, {})


class RejectingStore:
    """Store that rejects all calls and counts them."""

    def __init__(self):
        self.calls = 0

    def get(self, _kind, name):
        self.calls += 1
        raise RefusedError("store.get", name, "answered 503")


class TestRejectedNode(unittest.TestCase):
    def test_leases_of_all_duties_share_one_backoff(self):
        clock, store = Clock(), RejectingStore()
        shared = StoreBackoff(clock, Random(3), lambda: 195, lambda: False)
        keepers = [
            LeaseKeeper(
                name,
                Election("a", "s1", "a:1", LeaseTiming()),
                store,
                clock,
                lambda: False,
                shared,
            )
            for name in ("coordinator", "orders-x", "orders-y", "orders-z")
        ]
        for _ in range(180):
            for keeper in keepers:
                keeper.step()
            clock.now += 0.05
        # Nine seconds: pauses of 0.15, 0.3, 0.6 and so on up to 3 s.
        self.assertLessEqual(store.calls, 9)


class TestDutyOfANodeThatCannotDoIt(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = OneObjectStore()
        self.able = {"a": True, "b": True}

    def lease_keeper(self, machine):
        election = Election(machine, "s1", f"{machine}:1", LeaseTiming())
        return LeaseKeeper(
            "orders-z",
            election,
            self.store,
            self.clock,
            lambda: False,
            backoff(self.clock),
            is_able=lambda: self.able[machine],
        )

    def run_for(self, seconds, *lease_keepers):
        for _ in range(int(seconds / 0.1)):
            for lease_keeper in lease_keepers:
                lease_keeper.step()
            self.clock.now += 0.1

    def test_another_node_takes_the_duty_over(self):
        first, second = self.lease_keeper("a"), self.lease_keeper("b")
        self.run_for(3.0, first)
        self.assertTrue(first.election.may_order(self.clock()))
        self.able["a"] = False
        self.run_for(1.0, first, second)
        self.assertFalse(first.election.may_order(self.clock()))
        self.assertTrue(second.election.leads)

    def test_node_applies_again_once_it_can(self):
        keeper = self.lease_keeper("a")
        self.run_for(1.0, keeper)
        self.able["a"] = False
        self.run_for(1.0, keeper)
        self.assertFalse(keeper.election.leads)
        self.able["a"] = True
        self.run_for(1.0, keeper)
        self.assertTrue(keeper.election.may_order(self.clock()))
