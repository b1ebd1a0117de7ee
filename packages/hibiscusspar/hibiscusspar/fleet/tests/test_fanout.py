"""Tests of the distribution of views to many nodes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.fanout import exchange_interval_s, view_groups


def zone(node):
    return node % 3


class TestViewGroups(unittest.TestCase):
    @given(st.integers(0, 400))
    def test_each_node_is_in_one_group(self, count):
        nodes = list(range(count))
        groups = view_groups(nodes, zone)
        self.assertEqual(sorted(n for group in groups for n in group), nodes)

    def test_small_fleet_gets_views_directly(self):
        self.assertEqual(view_groups([1, 2, 3], zone), [[1], [2], [3]])

    def test_messages_of_the_sender_grow_with_the_square_root_of_the_fleet(self):
        groups = view_groups(list(range(360)), zone)
        self.assertLessEqual(len(groups), 21)
        self.assertLessEqual(max(map(len, groups)), 19)

    def test_groups_do_not_cross_zones(self):
        for group in view_groups(list(range(100)), zone):
            self.assertEqual(len(set(map(zone, group))), 1)

    def test_most_recently_heard_nodes_forward_views(self):
        groups = view_groups(list(range(90)), zone)
        self.assertEqual(sorted(group[0] for group in groups), list(range(9)))


class TestExchangeInterval(unittest.TestCase):
    def test_reports_to_the_coordinator_are_bounded(self):
        for nodes in (9, 78, 360):
            self.assertLessEqual(nodes / exchange_interval_s(nodes), 501)
