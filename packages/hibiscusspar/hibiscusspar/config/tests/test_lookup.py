"""Tests of lookups in a configuration."""

import unittest

from hibiscusspar.config.lookup import AdapterRef, find_adapter, find_route
from hibiscusspar.config.model import AdapterSpec, RouteSpec, empty_configuration


class TestFindAdapter(unittest.TestCase):
    def setUp(self):
        spec = AdapterSpec("larch", "base", ("1", "2"), "2")
        self.configuration = empty_configuration()._replace(adapters={"larch": spec})

    def test_name_without_version_uses_the_current_one(self):
        found = find_adapter(self.configuration, "larch")
        self.assertEqual(found, AdapterRef("larch", "2"))

    def test_named_version_is_kept(self):
        self.assertEqual(find_adapter(self.configuration, "larch@1").label, "larch@1")

    def test_unknown_adapter_or_version(self):
        self.assertIsNone(find_adapter(self.configuration, "oak"))
        self.assertIsNone(find_adapter(self.configuration, "larch@3"))


class TestFindRoute(unittest.TestCase):
    def setUp(self):
        routes = {p: RouteSpec(p, "s") for p in ("/v1", "/v1/certs")}
        self.configuration = empty_configuration()._replace(routes=routes)

    def test_longest_prefix_wins(self):
        found = find_route(self.configuration, "/v1/certs/7")
        self.assertEqual(found.prefix, "/v1/certs")

    def test_prefix_matches_whole_segments(self):
        found = find_route(self.configuration, "/v1/certsale")
        self.assertEqual(found.prefix, "/v1")
        self.assertIsNone(find_route(self.configuration, "/v10"))
