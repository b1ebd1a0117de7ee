"""Tests of ways to targets through peers, cancelled by another thread."""

import unittest
from types import SimpleNamespace

from hibiscusspar_entry.fleet.proxied_path import ProxiedPath
from hibiscusspar_entry.fleet.proxy_messages import (
    ANSWER_HEADER,
    BUSY,
    REFUSAL_HEADER,
    ProxyAnswer,
    encode_header,
)
from hibiscusspar_wire.target_connections import CallFailedError, Response


class Hop:
    """Connection to a peer that refuses the request, or passes on a head."""

    def __init__(self, head=None):
        self.cancelled = self.closed = False
        self._head = head

    def send(self, *arguments):
        pass

    def response(self, timeout_s, silence):
        if self._head is None:
            return Response(503, {REFUSAL_HEADER: BUSY}, None)
        return Response(200, {ANSWER_HEADER: encode_header(self._head)}, None)

    def read_whole(self, response, timeout_s, max_bytes):
        return b""

    def cancel(self):
        self.cancelled = True

    def close(self):
        self.closed = True


class PoolAndWatch:
    """Pool of connections to one peer, and the offers of that peer."""

    def __init__(self):
        self.hops = []
        # Head that the peer passes on.
        self.head = None
        self.ended = 0
        self.on_release = lambda: None

    def acquire(self, peer, address, max_idle_s):
        self.hops.append(Hop(self.head))
        return self.hops[-1]

    def release(self, peer, hop, headers):
        self.on_release()

    def begin_proxied(self, service, excluded):
        if "n2" in excluded:
            return None
        return "n2", SimpleNamespace(address="127.0.0.1:1", token="token")

    def withdraw_offer(self, peer):
        pass

    def end_proxied(self, peer):
        self.ended += 1


class ProxiedPathTestCase(unittest.TestCase):
    # Head that the peer passes on; None if it refuses the request.
    head = None

    def setUp(self):
        self.parts = parts = PoolAndWatch()
        parts.head = self.head
        target = SimpleNamespace(address="127.0.0.1:2", target_id="t0", service="s")
        self.path = ProxiedPath(parts, parts, target, "r1", [])
        self.path.connect()

    def send(self):
        self.path.send("POST", "/x", [], b"", 1.0)
        return self.path.response(1.0)


class TestHeadsOfOlderBuilds(ProxiedPathTestCase):
    """Guards against a broken head that a node of an older build passes on."""

    head = ProxyAnswer(200, [])

    def test_broken_heads_fail(self):
        heads = [ProxyAnswer(status, []) for status in (0, 99, 101, 103, 600, 999)]
        heads += [
            ProxyAnswer(200, [("X-Sound", "v"), field])
            for field in (
                ("", "v"),
                ("X Y", "v"),
                ("X-Y ", "v"),
                ("X\x01Y", "v"),
                ("X\x7fY", "v"),
                ("X\xe9", "v"),
                ("X(Y)", "v"),
                ("X:Y", "v"),
                ("X\n", "v"),
                ("X", "a\0b"),
                ("X", "a\rSet-Cookie: b"),
                ("X", "a\n b"),
                ("X", "v\n"),
                ("X", "\u0100"),
            )
        ]
        for head in heads:
            with self.subTest(head):
                self.head = head
                self.setUp()
                with self.assertRaises(CallFailedError) as caught:
                    self.send()
                # The target may have run the request.
                self.assertEqual(caught.exception.step, "wait")

    def test_valid_heads_are_taken(self):
        fields = [("X!#$%&'*+-.^_`|~9", "v"), ("X", ""), ("X", " \t\xff\x0b(a)")]
        for status in (200, 204, 302, 404, 500, 599):
            self.head = ProxyAnswer(status, fields)
            self.setUp()
            response = self.send()
            self.assertEqual(response.status, status)
            self.assertEqual(list(response.headers.items()), fields)


class TestCancelledPath(ProxiedPathTestCase):
    def test_connection_that_went_back_to_the_pool_is_not_cancelled(self):
        """Guards against a caller's disconnect that ends another caller's request."""
        self.parts.on_release = self.path.cancel
        with self.assertRaises(CallFailedError):
            self.send()
        self.assertFalse(self.parts.hops[0].cancelled)

    def test_cancel_after_a_refusal_raises_nothing(self):
        """The thread that calls it watches the callers of all requests."""
        with self.assertRaises(CallFailedError):
            self.send()
        self.path.cancel()
        self.path.close()
        self.assertEqual(self.parts.ended, 1)

    def test_connection_opened_after_the_cancel_is_cancelled(self):
        self.path.close()
        self.path.cancel()
        self.path.connect()
        self.assertTrue(self.parts.hops[1].cancelled)

    def test_connection_in_use_is_cancelled(self):
        self.path.cancel()
        self.assertTrue(self.parts.hops[0].cancelled)

    def test_released_connection_is_not_closed(self):
        self.path.release({})
        self.path.close()
        self.assertFalse(self.parts.hops[0].closed)
        self.assertEqual(self.parts.ended, 1)
