"""Tests of the division of a configuration into parts."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.config_parts import ConfigAssembly, ConfigPackage


def parts_of(package):
    count = len(package.parts)
    return [
        (package.version, package.digest, count, index, data)
        for index, data in enumerate(package.parts)
    ]


class TestConfigAssembly(unittest.TestCase):
    @given(st.integers(0, 60_000), st.randoms(use_true_random=False))
    def test_parts_in_any_order_with_repeats_give_the_whole(self, size, rng):
        body = Random(size).randbytes(size)
        parts = parts_of(ConfigPackage.of(7, body))
        arriving = parts + rng.choices(parts, k=3)
        rng.shuffle(arriving)
        assembly = ConfigAssembly()
        found = [assembly.add(*part) for part in arriving]
        self.assertIn(body, found)

    def test_parts_of_an_older_version_are_dropped(self):
        older = parts_of(ConfigPackage.of(7, b"a" * 20_000))
        newer = parts_of(ConfigPackage.of(8, b"b" * 20_000))
        assembly = ConfigAssembly()
        for part in (older[0], newer[0], older[1], older[2], newer[1]):
            self.assertIsNone(assembly.add(*part))
        self.assertEqual(assembly.add(*newer[2]), b"b" * 20_000)

    def test_changed_content_is_rejected(self):
        part = parts_of(ConfigPackage.of(7, b"right"))[0]
        self.assertIsNone(ConfigAssembly().add(*part[:4], b"wrong"))

    def test_only_missing_parts_are_asked_for_and_only_once(self):
        parts = parts_of(ConfigPackage.of(7, b"a" * 20_000))
        assembly = ConfigAssembly()
        assembly.add(*parts[0])
        self.assertEqual(assembly.next_missing(), [1, 2])
        self.assertEqual(assembly.next_missing(), [])
        assembly.forget_asked()
        assembly.add(*parts[2])
        self.assertEqual(assembly.next_missing(), [1])
