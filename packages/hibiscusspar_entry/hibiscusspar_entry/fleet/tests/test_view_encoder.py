"""Tests of the encoding of one view for several groups of nodes."""

import unittest
from itertools import product

from msgspec.json import Decoder, encode

from hibiscusspar.fleet.messages import FleetView, TargetLoad, ViewRelay
from hibiscusspar_entry.fleet.packing import pack, unpack
from hibiscusspar_entry.fleet.tests.test_request_scheduler import view
from hibiscusspar_entry.fleet.view_encoder import ViewEncoder

DECODER = Decoder(FleetView | ViewRelay)
ACKED = {"n1": 7, "n2": 8}
OTHERS = [("10.0.0.2", 7000), ("10.0.0.3", 7000)]


def large_view():
    names = [f"t{number}" for number in range(200)]
    loads = {name: TargetLoad(1, 200) for name in names}
    return view(loads=loads, directory=names, levels={'"acked":{},': 1.0, "acked": 2.0})


class TestViewEncoder(unittest.TestCase):
    def test_each_message_carries_the_view_with_its_reports_and_addresses(self):
        for sent, packed, others in product(
            (view(), large_view()), (False, True), ([], OTHERS)
        ):
            with self.subTest(packed=packed, others=others):
                message = ViewEncoder(sent).message(ACKED, others, packed)
                decoded = DECODER.decode(unpack(message))
                if others:
                    self.assertEqual(decoded.addresses, OTHERS)
                    decoded = DECODER.decode(decoded.view)
                expected = DECODER.decode(encode(sent))
                expected.acked = ACKED
                self.assertEqual(decoded, expected)

    def test_messages_of_several_groups_do_not_mix(self):
        encoder = ViewEncoder(large_view())
        acked = [{f"n{number}": number} for number in range(4)]
        messages = [encoder.message(row, [], True) for row in acked]
        found = [DECODER.decode(unpack(message)).acked for message in messages]
        self.assertEqual(found, acked)

    def test_message_is_packed_as_well_as_a_whole_one(self):
        sent = large_view()
        message = ViewEncoder(sent).message(ACKED, [], True)
        sent.acked = ACKED
        self.assertLess(len(message), 1.05 * len(pack(encode(sent))))
