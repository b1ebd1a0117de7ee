"""Mutation tests: the random fault runs must detect each fault put into the code."""

import unittest
from contextlib import ExitStack
from unittest.mock import patch

from hibiscusspar.placement import owned_target as owned_module
from hibiscusspar.placement.held_grants import HeldGrant, HeldGrantTable
from hibiscusspar.placement.ledger import Ledger
from hibiscusspar.placement.owned_target import OwnedTarget
from hibiscusspar.placement.owners import OwnerTable
from hibiscusspar.placement.permits import Permits
from hibiscusspar.placement.tests.cluster import all_violations
from hibiscusspar.placement.tests.faults import random_faults

SEEDS = range(200, 240)
SECONDS = 40.0


def accept_any_term(table, message):
    """Accept a grant of any owner."""
    table.terms[message.target] = (message.number, message.life)
    return _ACCEPT(table, message)


def accept_any_serial(table, message):
    """Accept a grant even if a later one was accepted before."""
    table._min_serials.clear()
    for grant in table.grants.get(message.target, {}).values():
        grant.serial = 0
    return _ACCEPT(table, message)


def release_at_once(ledger, now, node, hold_s):
    """Release the units of a lost node at once."""
    return _ORPHAN(ledger, now, node, 0.0)


def any_permit(permits):
    """Load without a permit."""
    return permits._own_store


def accept_lost_answer(table, now, order, ok, reason, incarnation, out):
    """Treat an order whose answer was lost as successful."""
    known = table.owned.get(order.target)
    if reason == "unknown" and known is not None:
        ok, reason, incarnation = True, "", known.incarnation
    _RESULT(table, now, order, ok, reason, incarnation, out)


_RESULT = OwnerTable.receive_result
_ACCEPT = HeldGrantTable.accept
_ORPHAN = Ledger.orphan

MUTATIONS = {
    "evict labels that may be in use": [
        patch.object(Ledger, "pinned", lambda ledger, label: False)
    ],
    "nodes report only granted units": [
        patch.object(HeldGrant, "bound", property(lambda grant: grant.level))
    ],
    "evict without asking all nodes": [
        patch.object(OwnerTable, "_all_reported", lambda table, owned: True)
    ],
    "grants of earlier owners are accepted": [
        patch.object(HeldGrantTable, "accept", accept_any_term)
    ],
    "older grants are accepted": [
        patch.object(HeldGrantTable, "accept", accept_any_serial)
    ],
    "units of lost nodes are released at once": [
        patch.object(Ledger, "orphan", release_at_once)
    ],
    "fence isn't raised": [
        patch.object(OwnedTarget, "must_raise_fence", property(lambda owned: False))
    ],
    "old reports are trusted": [patch.object(owned_module, "STATE_LAG_S", 0.0)],
    "loads need no permit": [
        patch.object(Permits, "acquire", any_permit),
        patch.object(Permits, "release", lambda *args: None),
    ],
    "permits are granted twice": [patch.object(Ledger, "used_units", lambda ledger: 0)],
    "a lost answer is treated as success": [
        patch.object(OwnerTable, "receive_result", accept_lost_answer)
    ],
}


def first_detecting_seed():
    """Return the first seed whose run has a violation, or None."""
    for seed in SEEDS:
        if all_violations(random_faults(seed, SECONDS)):
            return seed
    return None


class TestMutations(unittest.TestCase):
    """Each mutation of the code causes a violation in some run."""

    def test_every_mutation_is_detected(self):
        for name, patches in MUTATIONS.items():
            with self.subTest(mutation=name), ExitStack() as stack:
                for change in patches:
                    stack.enter_context(change)
                self.assertIsNotNone(first_detecting_seed())
