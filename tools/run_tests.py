"""Run the unit tests of all packages and close with one line of counts.

Tests named in ``KNOWN-RED.txt`` are run and printed, but don't fail the run.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Parts of the names of tests that take seconds each.
SLOW = (
    "hibiscusspar.limits.",
    "hibiscusspar.membership.",
    "hibiscusspar.placement.",
    "hibiscusspar_ctl.",
    "hibiscusspar_entry.tests.",
    "hibiscusspar_platform.tests.test_fleet",
    "hibiscusspar_platform.tests.test_whole_path",
    "hibiscusspar_standins.",
    "hibiscusspar_wire.",
)
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red():
    """Return the ids of tests that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line[:5] == "test:"}


def load(names):
    """Return a suite of the named tests, or of every test beside the code."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for folder in [*sorted((ROOT / "packages").iterdir()), ROOT / "platform"]:
        if (folder / "pyproject.toml").exists():
            suite.addTests(loader.discover(str(folder), top_level_dir=str(folder)))
    return suite


def quick(suite):
    """Return the tests of a suite that start no server and explore no long model."""
    found = unittest.TestSuite()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            found.addTest(quick(test))
        elif not any(part in test.id() for part in SLOW):
            found.addTest(test)
    return found


def main(names):
    """Run the tests and return the exit code."""
    red = known_red()
    suite = quick(load([])) if names == ["--quick"] else load(names)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    bad = [test.id() for test, _ in result.failures + result.errors]
    for test_id in bad:
        if test_id in red:
            print(f"known red: {test_id}")
    failed = [test_id for test_id in bad if test_id not in red]
    skipped = len(result.skipped)
    passed = result.testsRun - len(bad) - skipped
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
