"""Program that runs the unit tests of all packages and prints the counts.

Tests listed in ``KNOWN-RED.txt`` run and their failures are printed, but they don't
fail the run. Each module of the platform's tests gets a process of its own: they start
whole nodes, whose threads and objects would slow down the tests that follow.
"""

import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
# Substrings of the ids of tests that take seconds each: they start servers or
# explore long models.
SLOW = (
    "hibiscusspar.limits.",
    "hibiscusspar.membership.",
    "hibiscusspar.placement.",
    "hibiscusspar.fleet.tests.test_plain_calls",
    "hibiscusspar_ctl.",
    "hibiscusspar_entry.fleet.tests.test_cold_network",
    "hibiscusspar_entry.tests.",
    "hibiscusspar_platform.tests.test_evacuated_zones",
    "hibiscusspar_platform.tests.test_fleet",
    "hibiscusspar_platform.tests.test_moved_streams",
    "hibiscusspar_platform.tests.test_whole_path",
    "hibiscusspar_standins.",
    "hibiscusspar_wire.",
)
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red():
    """Return the ids of the tests that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line[:5] == "test:"}


class Outcome(NamedTuple):
    """Number of tests that ran, ids of those that failed, number of skipped ones."""

    run: int
    failing: list[str]
    skipped: int


def load_packages():
    """Return a suite of the tests of all packages but the platform's."""
    suite = unittest.TestSuite()
    for folder in sorted((ROOT / "packages").iterdir()):
        if (folder / "pyproject.toml").exists():
            suite.addTests(_discover(folder))
    return suite


def platform_modules():
    """Return the names of the modules with the platform's tests."""
    folder = ROOT / "platform"
    paths = sorted(folder.glob("**/tests/test_*.py"))
    return [".".join(p.relative_to(folder).with_suffix("").parts) for p in paths]


def _discover(folder):
    return unittest.TestLoader().discover(str(folder), top_level_dir=str(folder))


def select_quick(suite):
    """Return the tests of a suite that aren't listed in ``SLOW``."""
    selected = unittest.TestSuite()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            selected.addTest(select_quick(test))
        elif not any(part in test.id() for part in SLOW):
            selected.addTest(test)
    return selected


def run_suite(suite):
    """Run a suite and return its ``Outcome``."""
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failing = [test.id() for test, _ in result.failures + result.errors]
    return Outcome(result.testsRun, failing, len(result.skipped))


def run_names(*names):
    """Run the named tests and return their ``Outcome``."""
    return run_suite(unittest.TestLoader().loadTestsFromNames(names))


def run_all():
    """Run all tests and return the outcomes of their parts."""
    outcomes = [run_suite(load_packages())]
    # The processes start anew, as those that are forked keep the heap of this one.
    context = get_context("spawn")
    with ProcessPoolExecutor(1, context, max_tasks_per_child=1) as pool:
        outcomes += pool.map(run_names, platform_modules())
    return outcomes


def main(names):
    """Run the tests and return the exit code."""
    if not names:
        outcomes = run_all()
    elif names == ["--quick"]:
        suite = load_packages()
        suite.addTests(_discover(ROOT / "platform"))
        outcomes = [run_suite(select_quick(suite))]
    else:
        outcomes = [run_names(*names)]
    known_failures = known_red()
    failing = [test_id for outcome in outcomes for test_id in outcome.failing]
    for test_id in failing:
        if test_id in known_failures:
            print(f"known red: {test_id}")
    failed = [test_id for test_id in failing if test_id not in known_failures]
    for test_id in failed:
        print(f"failed: {test_id}")
    run = sum(outcome.run for outcome in outcomes)
    skipped = sum(outcome.skipped for outcome in outcomes)
    passed = run - len(failing) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or any(outcome.run == 0 for outcome in outcomes) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
