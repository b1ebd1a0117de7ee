"""Test of what a view without changes costs at a node, by the number of targets."""

import sys
import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.directory_copy import DirectoryCopy
from hibiscusspar.fleet.directory_names import KnownNames, without
from hibiscusspar.fleet.directory_rows import DirectoryRows
from hibiscusspar.fleet.residency_copy import ResidencyCopy
from hibiscusspar.fleet.residency_numbers import join_numbers
from hibiscusspar.fleet.targets import Target


def operations(work):
    """Return the number of operations of the interpreter that some work takes."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def cost(count):
    """Return the operations for a view without names and with one changed number."""
    rows = DirectoryRows()
    rows.start_term(
        {
            f"t{n:05}": Target(f"t{n:05}", "s", "h:1", "z", 8, False, 1, 0, {}, {})
            for n in range(count)
        }
    )
    rows.request(rows.names[:1])
    numbers = dict.fromkeys(rows.names, 1)
    names, copy, residency = KnownNames(), DirectoryCopy(), ResidencyCopy()

    def view(**changes):
        software, index = rows.software
        fields = {
            "fence": 1,
            "rows": rows.due(),
            "residency": {},
            "residency_numbers": join_numbers(numbers.values()),
            "directory": rows.names,
            "row_digests": rows.joined_digests,
            "software": software,
            "software_index": index,
            "directory_digest": rows.digest,
        }
        return SimpleNamespace(**fields | changes)

    def apply(received):
        names.complete(received)
        copy.apply_view(received)
        residency.apply_view(10.0, received)

    apply(view(residency={name: (1, []) for name in rows.names}))
    numbers[rows.names[-1]] = 2
    sent = view()
    vars(sent).update(without(sent))
    return operations(lambda: apply(sent))


class TestCostOfViews(unittest.TestCase):
    def test_view_without_changes_costs_the_same_for_ten_times_the_targets(self):
        # A sweep of 300 nodes and 3,004 targets is given up if each node looks at all
        # targets with each view.
        self.assertLessEqual(cost(3004), 1.3 * cost(300))


if __name__ == "__main__":
    unittest.main()
