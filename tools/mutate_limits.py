"""Mutation tests of limits: each mutation must fail at least one test.

Each mutation replaces a piece of a module's source in memory, in a process of its
own. Prints the tests that failed and exits with 1 if a mutation passed all tests.
"""

import subprocess
import sys
import types
import unittest
from importlib import import_module
from importlib.util import find_spec
from typing import NamedTuple

from hypothesis import Phase, settings

TIMEOUT_S = 240
TESTS = tuple(
    f"hibiscusspar.limits.tests.test_{name}" for name in ("system", "faults", "model")
)


class Mutation(NamedTuple):
    """Piece of a module's source and its replacement."""

    name: str
    module: str
    old: str
    new: str


MUTATIONS = (
    Mutation(
        "credit before debit",
        "home",
        "self.level -= credit\n        grant =",
        "self.level -= getattr(self, '_later', 0.0)\n"
        "        self._later = credit\n        grant =",
    ),
    Mutation(
        "id of an ask not remembered", "home", "ask.seq <= lessee.last_seq", "False"
    ),
    Mutation(
        "id of a grant not remembered",
        "node_limit",
        "self.pending = None\n        self.b",
        "self.b",
    ),
    Mutation(
        "grant of an earlier ask taken",
        "node_limit",
        "grant.seq != pending.seq",
        "False",
    ),
    Mutation(
        "restart without recovery",
        "home",
        "latest_end(now, MAX_LEASE_S)",
        "now",
    ),
    Mutation(
        "restart with full balance",
        "home",
        "            cap = 0.0\n",
        "            self.level = cap\n            return\n",
    ),
    Mutation(
        "home taken while its holder is paused",
        "tests.cluster",
        "if holder not in self.vms and names",
        "if (holder not in self.vms or self.vms[holder].paused) and names",
    ),
    Mutation(
        "lease counted from its answer",
        "node_limit",
        "lapse_at = pending.asked_at",
        "lapse_at = now",
    ),
    Mutation(
        "lease counted too short by its giver",
        "home",
        "ends_at = latest_end(now, duration_s)\n        lessee.add",
        "ends_at = now + 0.5 * duration_s\n        lessee.add",
    ),
    Mutation(
        "balance kept after a lapse",
        "bucket",
        "self.renew(now, 0.0, 0.0, 0.0, now)",
        "self.rate = 0.0",
    ),
    Mutation(
        "only the latest lease counted",
        "lessees",
        "if self._max_held is None:",
        "return [(e.rate, e.cap) for e in self.leases.values()][-1] "
        "if self.leases else (0.0, 0.0)\n        if self._max_held is None:",
    ),
    Mutation(
        "refund beyond the capacity",
        "bucket",
        "excess = self.level + self._refundable - self.cap",
        "excess = 0.0",
    ),
    Mutation(
        "part raised before others lowered",
        "escrow",
        "min(configured[i], max(own[i], free[i]))",
        "configured[i]",
    ),
    Mutation(
        "lower part recorded before it fits",
        "escrow",
        "wanted if fits(lower) else (",
        "wanted if True else (",
    ),
    Mutation(
        "part used as found, without writing first",
        "escrow",
        "            self._record = _parse_record(result)\n            if self.pre",
        "            self._record = _parse_record(result)\n"
        "            self._own = self._record.parts.get(self._zone, (0.0, 0.0))\n"
        "            self._claimed = self._zone in self._record.parts\n"
        "            if self.pre",
    ),
    Mutation(
        "higher part used before it is recorded",
        "escrow",
        "self._own = _elementwise_min(self._own, wanted)",
        "self._own = wanted",
    ),
    Mutation(
        "borrowed leases adopted",
        "home",
        "adoptable = self.recovering(now) or self._fits_without_loans()",
        "adoptable = True",
    ),
    Mutation(
        "smaller loan taken while handed out",
        "home",
        "if rate < before.rate - loan.rate or cap < before.cap - loan.cap:",
        "if False:",
    ),
    Mutation(
        "loans counted beyond their end",
        "home",
        "if until is None or loan.lapse_at >= until:",
        "if True:",
    ),
    Mutation(
        "surplus returned but not debited", "bucket", "self.level -= debited", "pass"
    ),
    Mutation(
        "handover taken without the record",
        "hosted_homes",
        "not home.recovering(now) or handover.epoch != hosted.escrow.predecessor",
        "not home.recovering(now)",
    ),
    Mutation("everything refused", "bucket", "self.level < tokens", "True"),
    Mutation(
        "recovery never ends",
        "home",
        "return now < self.recover_until",
        "return self.recover_until > self._accrued_until - 1e9 "
        "and bool(self.recover_until)",
    ),
)


def _mutate(mutation):
    name = f"hibiscusspar.limits.{mutation.module}"
    spec = find_spec(name)
    source = spec.loader.get_source(name)
    if source.count(mutation.old) != 1:
        raise SystemExit(f"{mutation.name}: the source text must occur exactly once")
    module = types.ModuleType(name)
    module.__file__ = spec.origin
    sys.modules[name] = module
    code = compile(source.replace(mutation.old, mutation.new), spec.origin, "exec")
    exec(code, module.__dict__)


def _generate_only():
    """Turn off the shrinking of failing examples."""
    model = import_module("hibiscusspar.limits.tests.test_model").TestLimitModel
    model.settings = settings(model.settings, phases=[Phase.generate])


def _run_one(index):
    _mutate(MUTATIONS[index])
    _generate_only()
    suite = unittest.defaultTestLoader.loadTestsFromNames(TESTS)
    runner = unittest.TextTestRunner(verbosity=0, buffer=True, stream=sys.stderr)
    result = runner.run(suite)
    for test, _ in result.failures + result.errors:
        print(".".join(test.id().split(".")[-2:]))


def main(arguments):
    """Run all mutations, or the one with the given index, and return the exit code."""
    if arguments:
        _run_one(int(arguments[0]))
        return 0
    survived = 0
    for index, mutation in enumerate(MUTATIONS):
        command = [sys.executable, __file__, str(index)]
        run = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )
        failed = run.stdout.split()
        if run.returncode:
            raise SystemExit(run.stderr[-2000:])
        survived += not failed
        print(f"{mutation.name}: {', '.join(failed) or 'SURVIVED'}", flush=True)
    print(f"{len(MUTATIONS)} mutations, {survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
