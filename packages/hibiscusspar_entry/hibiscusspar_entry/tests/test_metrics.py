"""Tests of the metrics of the entry process."""

import unittest

from hibiscusspar_entry.metrics import Metrics


class TestMetrics(unittest.TestCase):
    def test_limits_have_only_numbers_of_current_accounts(self):
        metrics = Metrics()
        metrics.set_limit_gauges({"gone": {"level": 1.0}})
        metrics.set_limit_gauges(
            {"yard": {"level": 2.5, "refusals": 3, "home": "vm-1"}}
        )
        text = metrics.render().decode()
        self.assertIn('hibiscusspar_limit{account="yard",field="level"} 2.5', text)
        self.assertIn('hibiscusspar_limit{account="yard",field="refusals"} 3.0', text)
        self.assertNotIn("vm-1", text)
        self.assertNotIn("gone", text)
