"""Tests of the demand of accounts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.account_demand import AccountDemand, grant_probability
from hibiscusspar.fleet.fanout import exchange_interval_s


class TestAccountDemand(unittest.TestCase):
    def test_steady_requests_give_their_rate(self):
        demand = AccountDemand()
        for step in range(100):
            demand.record(step * 0.1, "acme", 160.0)
        self.assertAlmostEqual(demand.rates(10.0)["acme"], 1600.0, delta=160.0)

    def test_idle_account_is_dropped(self):
        demand = AccountDemand()
        demand.record(0.0, "acme", 1600.0)
        self.assertEqual(demand.rates(10.0), {})

    def test_refund_cancels_its_request(self):
        demand = AccountDemand()
        demand.record(0.0, "acme", 1600.0)
        demand.record(0.0, "acme", -1600.0)
        self.assertEqual(demand.rates(0.0), {})


class TestGrantProbability(unittest.TestCase):
    @given(st.floats(1.0, 1e6), st.floats(1.0, 1e7), st.integers(1, 1000))
    def test_nodes_take_no_more_than_the_level_on_average(self, level, asked, nodes):
        probability = grant_probability(level, asked, nodes)
        expected = asked * exchange_interval_s(nodes)
        self.assertLessEqual(probability * expected, level * 1.000001)
        self.assertLessEqual(probability, 1.0)

    def test_level_that_covers_all_requests_grants_all(self):
        self.assertEqual(grant_probability(50_000.0, 33_000.0, 195), 1.0)

    def test_account_over_its_limit_is_denied(self):
        self.assertEqual(grant_probability(-5.0, 33_000.0, 195), 0.0)
