"""Tests of a dict that is made when it is first read."""

import unittest

from hibiscusspar.fleet.deferred_dict import DeferredDict


class TestDeferredDict(unittest.TestCase):
    def test_dict_is_made_once_and_only_if_it_is_read(self):
        made = []
        deferred = DeferredDict(lambda now: made.append(now) or {"t0": now}, 5.0)
        self.assertEqual(made, [])
        self.assertEqual(deferred.get("t0"), 5.0)
        self.assertEqual(deferred.get("t1", 0.0), 0.0)
        self.assertEqual(made, [5.0])
