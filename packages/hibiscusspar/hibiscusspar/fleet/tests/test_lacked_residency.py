"""Tests of the comparison of residency numbers."""

import unittest
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.fleet.residency_copy import ResidencyCopy
from hibiscusspar.fleet.residency_numbers import join_numbers, lacked_states

NAMES = [f"t{number:03}" for number in range(200)]
SOME = st.sampled_from((0, 1, 63, 64, 65, 130, 199))
# Numbers that change, those that a view carries, and what else happens.
VIEWS = st.lists(
    st.tuples(
        st.dictionaries(SOME, st.sampled_from((0, 1, 2, 7, 65_535, 65_536, 70_000))),
        st.sets(SOME),
        st.sampled_from(
            ("same", "same", "same", "lost", "successor", "other names", "no names")
        ),
    ),
    max_size=20,
)


class TestLackedResidency(unittest.TestCase):
    @settings(max_examples=200)
    @given(VIEWS)
    def test_lacked_states_are_those_of_a_whole_comparison(self, views):
        # A state that isn't noticed as lacked is never requested, and requests go to a
        # target without their adapter.
        copy, known = ResidencyCopy(), {}
        numbers, fence, names = dict.fromkeys(NAMES, 0), 1, NAMES
        for changed, carried, fate in views:
            numbers |= {NAMES[index]: number for index, number in changed.items()}
            fence += fate == "successor"
            if fate == "other names":
                names = NAMES[1:] if names is NAMES else NAMES
            residency = {NAMES[i]: (numbers[NAMES[i]], []) for i in carried}
            sent = SimpleNamespace(
                fence=fence,
                residency=residency,
                residency_numbers=join_numbers(numbers[name] for name in names),
                directory=[] if fate == "no names" else list(names),
                directory_digest=int(fate == "no names"),
            )
            if fate == "lost":
                continue
            copy.apply_view(10.0, sent)
            for name, (number, _) in residency.items():
                known[name] = max(known.get(name, (0, -1)), (fence, number))
            if fate == "no names":
                continue
            valid = {n: number for n, (term, number) in known.items() if term == fence}
            expected = lacked_states(sent.directory, sent.residency_numbers, valid)
            self.assertEqual(copy.lacked, expected)


if __name__ == "__main__":
    unittest.main()
