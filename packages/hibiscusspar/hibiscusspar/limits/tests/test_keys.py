"""Tests of the keys of client accounts."""

import unittest
from urllib.parse import quote

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    KeySpec,
    empty_configuration,
)
from hibiscusspar.limits.keys import (
    KeyRefusal,
    authenticate,
    bearer_key,
    check_access,
    contains_key,
    digest_key,
    new_key,
    still_valid,
    strip_credentials,
)

KEY = new_key(lambda count: bytes(range(count)))


def configuration(**changes):
    spec = KeySpec(digest_key(KEY), "yard", "k1")._replace(**changes)
    accounts = {"yard": AccountSpec("yard", 10.0, 20.0, routes=("/v1",))}
    adapters = {
        "larch": AdapterSpec("larch", "base", ("1",), "1", ("yard",)),
        "oak": AdapterSpec("oak", "base", ("1",), "1", ("other",)),
    }
    return empty_configuration()._replace(
        keys={spec.digest: spec}, accounts=accounts, adapters=adapters
    )


class TestNewKey(unittest.TestCase):
    def test_holds_256_bits(self):
        other = new_key(lambda count: bytes(range(count - 1)) + b"\xff")
        self.assertNotEqual(KEY, other)
        self.assertGreaterEqual(len(KEY.removeprefix("hsk_")) * 6, 256)

    def test_short_source_is_refused(self):
        with self.assertRaisesRegex(ValueError, "32 bytes"):
            new_key(lambda count: b"short")


class TestAuthenticate(unittest.TestCase):
    def test_known_key_names_its_account(self):
        self.assertEqual(authenticate(configuration(), KEY), "yard")

    def test_refusals(self):
        cases = [
            (configuration(), "", "missing"),
            (configuration(), KEY[:-1], "unknown"),
            (configuration(), digest_key(KEY), "unknown"),
            (configuration(), "x" * 100_000, "unknown"),
            (configuration(withdrawn=True), KEY, "withdrawn"),
            (configuration(account="gone"), KEY, "no-account"),
        ]
        for known, key, reason in cases:
            refusal = authenticate(known, key)
            self.assertIsInstance(refusal, KeyRefusal)
            self.assertEqual(refusal.reason, reason)

    def test_stream_ends_with_its_key(self):
        digest = digest_key(KEY)
        self.assertTrue(still_valid(configuration(), digest, "yard"))
        self.assertFalse(still_valid(configuration(withdrawn=True), digest, "yard"))
        self.assertFalse(still_valid(configuration(account="b"), digest, "yard"))
        self.assertFalse(still_valid(empty_configuration(), digest, "yard"))

    def test_bearer(self):
        self.assertEqual(bearer_key(f"bearer  {KEY} "), KEY)
        self.assertEqual(bearer_key("Basic abc"), "")
        self.assertEqual(bearer_key(""), "")


class TestCheckAccess(unittest.TestCase):
    def test_routes_adapters_and_age(self):
        known = configuration()
        self.assertIsNone(check_access(known, "yard", "/v1", "larch"))
        self.assertEqual(check_access(known, "yard", "/v2").reason, "route")
        refusal = check_access(known, "yard", "/v1", "oak")
        self.assertEqual(refusal.reason, "adapter")
        bounded = known.accounts["yard"]._replace(stale_bound_s=5.0)
        known = known._replace(accounts={"yard": bounded})
        self.assertIsNone(check_access(known, "yard", "/v1", age_s=5.0))
        refusal = check_access(known, "yard", "/v1", age_s=5.1)
        self.assertEqual(refusal.reason, "stale-configuration")


class TestStripCredentials(unittest.TestCase):
    def test_named_headers_and_fields(self):
        headers = [("X_Api-Key", "1"), ("COOKIE", "2"), ("Accept", "3")]
        kept, query = strip_credentials(headers, "a=1&API_KEY=2&b=%20&Token=3&c")
        self.assertEqual(kept, [("Accept", "3")])
        self.assertEqual(query, "a=1&b=%20&c")

    @settings(derandomize=True, database=None, deadline=None, max_examples=100)
    @given(
        st.text("abc-/=&?", max_size=8),
        st.text("abc-/=&?", max_size=8),
        st.integers(0, 2),
    )
    def test_key_is_removed_wherever_it_stands(self, before, after, encodings):
        secret = KEY
        for _ in range(encodings):
            secret = "".join(f"%{byte:02X}" for byte in secret.encode())
            secret = secret if encodings == 1 else quote(secret, safe="")
            if encodings == 2:
                break
        value = before + secret + after
        headers = [("Forwarded", value), ("Referer", "/x?" + value), ("Host", "h")]
        kept, query = strip_credentials(headers, f"q={secret}&n=1", KEY)
        self.assertEqual(kept, [("Host", "h")])
        self.assertEqual(query, "n=1")

    def test_body_with_the_key_is_recognised(self):
        self.assertTrue(contains_key(b'{"user": "%s"}' % KEY.encode(), KEY))
        self.assertFalse(contains_key(b"plain", KEY))
        self.assertFalse(contains_key(b"plain", ""))
