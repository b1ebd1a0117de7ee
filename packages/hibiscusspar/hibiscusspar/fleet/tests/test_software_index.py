"""Tests of the compact form of the software versions of targets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.software_index import join_software, split_software


class TestSoftwareIndex(unittest.TestCase):
    @given(st.lists(st.text(max_size=3), max_size=300))
    def test_versions_are_the_same_after_a_round_trip(self, versions):
        if len(set(versions)) < 256:
            self.assertEqual(split_software(*join_software(versions)), versions)

    def test_versions_beyond_one_byte_are_unknown_and_not_mixed_up(self):
        versions = [f"v{n:04}" for n in range(1000)]
        found = split_software(*join_software(versions))
        self.assertEqual(found[:255], versions[:255])
        self.assertEqual(set(found[255:]), {""})


if __name__ == "__main__":
    unittest.main()
