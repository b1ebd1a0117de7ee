"""Tests of the index of the directory of targets."""

import unittest

from hibiscusspar.fleet.target_index import TargetIndex
from hibiscusspar.fleet.targets import Target


def target(name, **fields):
    row = Target(
        name, "draft", "10.0.0.1:80", "z1", 8, False, 1, 0, {"m": 3}, {("m", "a"): 1}
    )
    return row._replace(**fields)


class TestTargetIndex(unittest.TestCase):
    def setUp(self):
        self.index = TargetIndex()

    def replace(self, *targets):
        self.index.replace({row.target_id: row for row in targets})

    def test_target_is_found_by_service_model_and_listed_adapter(self):
        row = target("t1")
        self.replace(row, target("t2", service="plain", models={}, adapters={}))
        self.assertEqual(self.index.staying("draft"), {"t1": row})
        self.assertEqual(self.index.serving("draft", "m"), {"t1": 3})
        self.assertEqual(list(self.index.listing(("m", "a"))), ["t1"])

    def test_draining_target_is_not_found(self):
        self.replace(target("t1"))
        self.replace(target("t1", draining=True))
        self.assertFalse(self.index.staying("draft"))
        self.assertFalse(self.index.serving("draft", "m"))

    def test_changed_target_is_found_by_its_new_fields_only(self):
        self.replace(target("t1"), target("t2"))
        self.replace(target("t1", service="plain", models={"n": 1}), target("t2"))
        self.assertEqual(list(self.index.staying("draft")), ["t2"])
        self.assertEqual(list(self.index.staying("plain")), ["t1"])
        self.assertEqual(self.index.serving("plain", "n"), {"t1": 1})

    def test_removed_target_is_found_nowhere(self):
        self.replace(target("t1"))
        self.replace()
        self.assertFalse(self.index.staying("draft"))
        self.assertFalse(self.index.listing(("m", "a")))

    def test_caller_may_change_its_dict_afterwards(self):
        rows = {"t1": target("t1")}
        self.index.replace(rows)
        rows["t1"] = target("t1", draining=True)
        self.index.replace(rows)
        self.assertFalse(self.index.staying("draft"))
