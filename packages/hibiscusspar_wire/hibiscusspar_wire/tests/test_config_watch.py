"""Tests of fetching and applying configurations."""

import unittest
from contextlib import contextmanager
from random import Random

from hibiscusspar.config.model import AccountSpec, AdapterSpec, empty_configuration
from hibiscusspar.errors import StepError
from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import Gossip
from hibiscusspar.outbox import Outbox
from hibiscusspar_wire.config_watch import ConfigWatch
from hibiscusspar_wire.platform_errors import CompactedError
from hibiscusspar_wire.publishing import (
    CHUNK_KIND,
    ROOT_KIND,
    ROOT_NAME,
    collect_chunks,
    issue_key,
    publish,
    read_current,
    withdraw_key,
)
from hibiscusspar_wire.tests.fake_platform import FakePlatform

RANDOM = Random(5)


def rng_hex(count):
    return RANDOM.randbytes(count).hex()


class FakePeers:
    """Client of peers whose chunk stores are kept by address."""

    def __init__(self):
        self.stores_by_address = {}
        self.before_next = None
        self.requested_names = []

    def chunk(self, address, name):
        self.requested_names.append(name)
        before, self.before_next = self.before_next, None
        if before is not None:
            before()
        store = self.stores_by_address.get(address)
        data = store.chunk(name) if store else None
        if data is None:
            raise StepError("peer/chunks", address, "answered 404")
        return data


class Vm:
    """Member with a configuration watch; records what the watch applies."""

    def __init__(self, name, platform, peers):
        self.members = MemberSystem(name, "a", f"{name}:1", Random(1))
        self.now = 10.0
        self.applied = []
        self.withdrawn = []
        self.record_names = []
        self.watch = ConfigWatch(
            platform, peers, self.members, self.locked_systems, self, Random(2)
        )
        peers.stores_by_address[f"{name}:1"] = self.watch.store

    @contextmanager
    def locked_systems(self):
        out = Outbox()
        yield self.now, out
        self.record_names += [record.kind.name for record in out.records]

    def apply(self, configuration, root_name):
        self.applied.append(configuration)
        self.members.set_revision(configuration.revision, root_name)

    def withdraw_keys(self, digests):
        self.withdrawn += digests

    def gossip_to(self, other):
        """Offer this VM's revision to another VM by gossip."""
        out = Outbox()
        self.members.expedite_gossip()
        with self.locked_systems() as (now, _):
            other_row = Gossip(
                "a", other.members._me.address, 0, "", 0.0, 0, True, (), ()
            )
            self.members.receive(now, other.members.vm, other_row, out)
            self.members.tick(now, out)
        for send in out.sends:
            if send.peer == other.members.vm:
                other.members.receive(other.now, self.members.vm, send.message, out)


def declared(*names):
    adapters = {n: AdapterSpec(n, "base", ("1",), "1") for n in names}
    accounts = {"mill": AccountSpec("mill", 1.0, 1.0)}
    return empty_configuration()._replace(adapters=adapters, accounts=accounts)


class TestConfigWatch(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        self.peers = FakePeers()
        self.first = Vm("first", self.platform, self.peers)
        self.second = Vm("second", self.platform, self.peers)
        self.publish("larch")

    def publish(self, *names):
        version = read_current(self.platform).version
        publish(self.platform, declared(*names), version, "ann", rng_hex)

    def adapters(self, vm):
        return set(vm.applied[-1].adapters) if vm.applied else None

    def test_first_configuration_comes_from_the_platform(self):
        self.assertEqual(self.first.watch.poll_platform(), 1.0)
        self.assertEqual(self.adapters(self.first), {"larch"})
        self.assertEqual(self.first.watch.revision, 1)

    def test_applies_an_offer_of_a_peer_without_the_platform(self):
        self.first.watch.poll_platform()
        self.platform.unavailable = True
        self.first.gossip_to(self.second)
        self.assertTrue(self.second.watch.apply_best_offer())
        self.assertEqual(self.adapters(self.second), {"larch"})
        self.assertFalse(self.second.watch.apply_best_offer())

    def test_only_changed_chunks_are_fetched(self):
        for vm in (self.first, self.second):
            vm.watch.poll_platform()
        self.publish("larch", "oak")
        self.first.watch._since = None
        self.first.watch.poll_platform()
        self.first.gossip_to(self.second)
        self.peers.requested_names.clear()
        self.assertTrue(self.second.watch.apply_best_offer())
        self.assertEqual(len(self.peers.requested_names), 2)
        self.assertEqual(self.adapters(self.second), {"larch", "oak"})

    def test_lower_revision_is_not_applied(self):
        old = self.platform.objects[ROOT_KIND, ROOT_NAME]
        self.publish("oak")
        self.first.watch.poll_platform()
        self.platform.objects[ROOT_KIND, ROOT_NAME] = old
        self.first.watch._since = None
        self.first.watch.poll_platform()
        self.assertEqual(self.adapters(self.first), {"oak"})
        self.assertIn("config.behind", self.first.record_names)

    def test_chunk_is_fetched_from_the_platform_if_the_peer_sends_a_wrong_one(self):
        self.first.watch.poll_platform()
        self.first.gossip_to(self.second)
        chunks = self.first.watch.store
        for name in list(chunks._texts):
            if (CHUNK_KIND, name) in self.platform.objects:
                chunks._texts[name] = chunks._texts[name].replace("larch", "laxch")
        self.assertTrue(self.second.watch.apply_best_offer())
        self.assertEqual(self.adapters(self.second), {"larch"})

    def test_fetched_revision_is_not_applied_after_a_newer_one(self):
        self.first.watch.poll_platform()
        self.first.gossip_to(self.second)

        def publish_newer():
            self.publish("oak")
            self.second.watch.poll_platform()

        self.peers.before_next = publish_newer
        self.assertFalse(self.second.watch.apply_best_offer())
        self.assertEqual(self.adapters(self.second), {"oak"})
        self.assertEqual(self.second.watch.revision, 2)

    def test_offer_that_cannot_be_fetched_is_dropped(self):
        self.first.watch.poll_platform()
        self.first.gossip_to(self.second)
        del self.peers.stores_by_address["first:1"]
        self.assertFalse(self.second.watch.apply_best_offer())
        self.assertIsNone(self.second.members.best_offer())
        self.assertIn("config.fetch_failed", self.second.record_names)

    def test_withdrawal_of_a_key_applies_before_other_chunks_arrive(self):
        issue_key(self.platform, "mill", "k", "ab", "ann", rng_hex)
        self.first.watch.poll_platform()
        withdraw_key(self.platform, "k", "ann", rng_hex)
        self.publish("oak")
        calls = ["ok"] * 2 + ["refused"] * 9
        self.platform.faults = calls
        self.first.watch._since = None
        self.first.watch.poll_platform()
        self.platform.faults = []
        self.assertEqual(self.first.withdrawn, ["ab"])
        self.assertEqual(self.adapters(self.first), {"larch"})
        self.assertEqual(self.first.watch.revision, 2)
        self.first.watch.poll_platform()
        self.assertEqual(self.adapters(self.first), {"oak"})

    def test_root_is_read_again_after_a_collection_of_its_chunks(self):
        self.publish("oak")
        self.publish("elm")

        def publish_newer():
            faults, self.platform.faults = self.platform.faults, []
            self.publish("larch")
            collect_chunks(self.platform, rng_hex)
            self.platform.faults = faults

        self.platform.faults = ["ok", publish_newer]
        self.assertGreater(self.first.watch.poll_platform(), 0)
        self.assertEqual(self.first.applied, [])
        self.first.watch.poll_platform()
        self.assertEqual(self.adapters(self.first), {"larch"})

    def test_compacted_watch_reads_the_root_again(self):
        members = self.first.members
        with self.first.locked_systems() as (now, out):
            members.tick(now, out)
        self.assertTrue(members.watching)
        self.first.watch.poll_platform()
        self.publish("oak")
        self.platform.faults = [self.compact]
        self.first.watch.poll_platform()
        self.first.watch.poll_platform()
        self.assertEqual(self.adapters(self.first), {"oak"})

    def compact(self):
        raise CompactedError("watch", "platform", "compacted")
