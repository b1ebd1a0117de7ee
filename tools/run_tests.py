"""Program that runs the unit tests of all packages and prints the counts.

Tests listed in ``KNOWN-RED.txt`` run and their failures are printed, but they don't
fail the run.
"""

import sys
import unittest
from pathlib import Path

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


def load_suite(names):
    """Return a suite of the named tests, or of all tests if none is named."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for folder in [*sorted((ROOT / "packages").iterdir()), ROOT / "platform"]:
        if (folder / "pyproject.toml").exists():
            suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
    return suite


def select_quick(suite):
    """Return the tests of a suite that aren't listed in ``SLOW``."""
    selected = unittest.TestSuite()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            selected.addTest(select_quick(test))
        elif not any(part in test.id() for part in SLOW):
            selected.addTest(test)
    return selected


def main(names):
    """Run the tests and return the exit code."""
    known_failures = known_red()
    suite = select_quick(load_suite([])) if names == ["--quick"] else load_suite(names)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failing = [test.id() for test, _ in result.failures + result.errors]
    for test_id in failing:
        if test_id in known_failures:
            print(f"known red: {test_id}")
    failed = [test_id for test_id in failing if test_id not in known_failures]
    for test_id in failed:
        print(f"failed: {test_id}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failing) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
