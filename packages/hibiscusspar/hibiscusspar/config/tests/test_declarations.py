"""Tests of the validation of declarations."""

import unittest

from hibiscusspar.config.declarations import from_declarations
from hibiscusspar.errors import ConfigErrorGroup


def service_file():
    return {
        "service": {"name": "drafting", "kind": "engine", "model": "base"},
        "models": [{"name": "base"}],
        "targets": [
            {"name": "t1", "address": "10.0.0.1:80", "zone": "caerdydd"},
            {"name": "t2", "address": "10.0.0.2:80", "zone": "wrecsam"},
        ],
        "routes": [{"prefix": "/v1/", "idempotent": True}],
        "adapters": [{"name": "larch", "versions": ["1", "2"]}],
        "adapter_groups": [
            {"names": ["oak", "elm"], "versions": ["1"], "accounts": ["mill"]}
        ],
    }


ACCOUNTS = {"accounts": [{"name": "mill", "rate": 10, "burst": 50}]}


def errors_of(*files):
    try:
        from_declarations(list(files))
    except ConfigErrorGroup as group:
        return {(e.file, e.key_path): e.reason for e in group.exceptions}
    return {}


class TestFromDeclarations(unittest.TestCase):
    def test_service_sets_defaults_for_its_file(self):
        found = from_declarations([("a", service_file()), ("b", ACCOUNTS)])
        self.assertEqual(found.targets["t1"].service, "drafting")
        self.assertEqual(found.routes["/v1"].service, "drafting")
        self.assertEqual(found.adapters["larch"].current, "2")
        self.assertEqual(found.adapters["elm"].accounts, ("mill",))

    def test_fractions_default_to_equal_parts(self):
        found = from_declarations([("a", service_file()), ("b", ACCOUNTS)])
        expected = (("caerdydd", 0.5), ("wrecsam", 0.5))
        self.assertEqual(found.accounts["mill"].zone_fractions, expected)

    def test_all_errors_are_reported_with_file_and_path(self):
        invalid = service_file()
        invalid["targets"][1].update(address="host:80", colour="red")
        del invalid["targets"][0]["zone"]
        invalid["routes"].append({"prefix": "v2", "deadline_s": float("nan")})
        found = errors_of(("a", invalid), ("b", {"acounts": []}))
        expected = {
            ("a", "targets.0.zone"),
            ("a", "targets.1.address"),
            ("a", "targets.1.colour"),
            ("a", "routes.1.prefix"),
            ("a", "routes.1.deadline_s"),
            ("a", "adapter_groups.0.names.0.accounts"),
            ("a", "adapter_groups.0.names.1.accounts"),
            ("b", "acounts"),
        }
        self.assertEqual(set(found), expected)

    def test_error_of_a_duplicate_names_the_first_declaration(self):
        accounts = {"accounts": ACCOUNTS["accounts"] * 2}
        found = errors_of(("a", service_file()), ("b", accounts))
        self.assertIn("b: accounts.0", found["b", "accounts.1"])

    def test_fractions_must_sum_to_one_over_known_zones(self):
        short = {"caerdydd": 0.5, "wrecsam": 0.4}
        undeclared = {"caerdydd": 0.5, "parma": 0.5}
        for fractions, path in (
            (short, "accounts.0.zone_fractions"),
            (undeclared, "accounts.0.zone_fractions.parma"),
        ):
            account = {**ACCOUNTS["accounts"][0], "zone_fractions": fractions}
            files = ("a", service_file()), ("b", {"accounts": [account]})
            self.assertIn(("b", path), errors_of(*files))

    def test_wrong_types_do_not_crash(self):
        for invalid in (None, 3, "x", [], {}, [1], {"a": 1}, True, float("inf")):
            for section, entries in service_file().items():
                broken = service_file()
                broken[section] = invalid
                errors_of(("a", broken), ("b", ACCOUNTS))
                if isinstance(entries, list):
                    for key in entries[0]:
                        broken = service_file()
                        broken[section][0][key] = invalid
                        with self.subTest(section=section, key=key, invalid=invalid):
                            errors_of(("a", broken), ("b", ACCOUNTS))
