"""Tests that this build and an older one understand each other's messages.

``data/messages-f9d5990.json`` holds one message of each type as that build encoded it.
"""

import json
import unittest
from pathlib import Path

from msgspec import Struct, defstruct
from msgspec.json import Decoder, decode, encode
from msgspec.structs import fields

from hibiscusspar.fleet.messages import (
    AdapterLoad,
    ConfigPart,
    ConfigQuery,
    FleetView,
    NodeReport,
    OrderRequest,
    OrderResult,
    PermitGrant,
    RetryLoan,
    SendNotice,
)

OLD_MESSAGES = json.loads(
    (Path(__file__).parent / "data" / "messages-f9d5990.json").read_text()
)
TYPES = {
    "report": NodeReport,
    "view": FleetView,
    "notice": SendNotice,
    "order": OrderRequest,
    "result": OrderResult,
    "permits": PermitGrant,
}
DECODER = Decoder(
    NodeReport | FleetView | SendNotice | OrderRequest | OrderResult | PermitGrant
)


def old_type(name):
    """Return a type with the fields that the older build knows, in any type."""
    known = json.loads(OLD_MESSAGES[name])
    current = TYPES[name]
    names = [field.name for field in fields(current) if field.encode_name in known]
    return defstruct(f"Old{name.title()}", names, tag=known["type"])


class TestOlderBuild(unittest.TestCase):
    def test_its_messages_are_read_whole(self):
        for name, text in OLD_MESSAGES.items():
            with self.subTest(name):
                message = DECODER.decode(text)
                self.assertIsInstance(message, TYPES[name])
                self.assertIsInstance(message, Struct)
                again = json.loads(encode(message))
                for field, value in json.loads(text).items():
                    self.assertEqual(again[field], value, field)

    def test_its_node_gets_plain_views_and_no_demand(self):
        self.assertFalse(DECODER.decode(OLD_MESSAGES["report"]).reads_packed)
        self.assertIsNone(DECODER.decode(OLD_MESSAGES["view"]).asked)

    def test_it_reads_what_it_knows_of_this_builds_messages(self):
        notice = DECODER.decode(OLD_MESSAGES["notice"])
        notice.config_asked = ConfigQuery(3, 4, [0])
        notice.config_part = ConfigPart(4, "d", 1, 0, b"x")
        notice.loads = [AdapterLoad("t1", "m/a1", 1, 0.2, 1)]
        notice.full = ["t1"]
        notice.loan_asked = notice.loan = RetryLoan("s1", 1, "s")
        report = DECODER.decode(OLD_MESSAGES["report"])
        report.denied, report.link_mbps, report.reads_packed = {"acme": 5.0}, 10.0, True
        report.requests = {"s": 3}
        view = DECODER.decode(OLD_MESSAGES["view"])
        view.asked = {"acme": 100}
        for name, message in (("notice", notice), ("report", report), ("view", view)):
            with self.subTest(name):
                body = encode(message)
                found = decode(body, type=old_type(name))
                known = json.loads(OLD_MESSAGES[name])
                for field in fields(type(found)):
                    self.assertEqual(getattr(found, field.name), known[field.name])
