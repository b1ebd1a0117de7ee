"""Tests of ways through peers, without a network."""

import unittest
from types import SimpleNamespace
from unittest import mock

from hibiscusspar_entry.fleet.proxied_path import ProxiedPath
from hibiscusspar_entry.fleet.proxy_messages import BUSY, REFUSAL_HEADER
from hibiscusspar_wire.target_connections import CallFailedError, Response


class TestCancelledRequest(unittest.TestCase):
    def test_connection_of_a_peer_that_refused_is_not_cancelled_after_its_release(self):
        """Guards against the call of another request that is cancelled instead."""
        refusal = Response(503, {REFUSAL_HEADER: BUSY}, None)
        hop = mock.Mock(**{"response.return_value": refusal})
        connections, watch = mock.Mock(), mock.Mock()
        connections.acquire.return_value = hop
        offer = SimpleNamespace(address="peer", token="")
        watch.begin_proxied.side_effect = [("n2", offer), None]
        target = SimpleNamespace(target_id="t0", service="plain", address="target")
        path = ProxiedPath(connections, watch, target, "r1", [])
        connections.release.side_effect = lambda *_: path.cancel()
        path.connect()
        path.send("POST", "/", [], b"", 1.0)
        with self.assertRaises(CallFailedError):
            path.response(1.0)
        connections.release.assert_called_once()
        hop.cancel.assert_not_called()
