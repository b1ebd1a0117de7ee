"""Keys of client accounts: creation, digest, authentication and removal.

A key is 256 random bits, shown once; the configuration stores only SHA-256
digests. They need no salt because the keys are random.
"""

from base64 import urlsafe_b64encode
from hashlib import sha256
from hmac import compare_digest
from typing import NamedTuple
from urllib.parse import parse_qsl, quote, quote_plus, unquote, unquote_plus

__all__ = [
    "KEY_BYTES",
    "KeyRefusal",
    "authenticate",
    "bearer_key",
    "check_access",
    "contains_key",
    "digest_key",
    "new_key",
    "still_valid",
    "strip_credentials",
]

KEY_BYTES = 32
_PREFIX = "hsk_"
_MAX_KEY_CHARS = 256
_SECRET_HEADERS = frozenset(
    {
        "api-key",
        "authorization",
        "cookie",
        "cookie2",
        "proxy-authenticate",
        "proxy-authorization",
        "set-cookie",
        "x-amz-security-token",
        "x-api-key",
        "x-api-token",
        "x-access-token",
        "x-auth-key",
        "x-auth-token",
        "x-csrf-token",
        "x-forwarded-access-token",
        "x-forwarded-authorization",
        "x-goog-api-key",
        "x-original-authorization",
        "x-peer-secret",
    }
)
_SECRET_FIELDS = frozenset(
    {
        "access_token",
        "api-key",
        "api_key",
        "apikey",
        "auth",
        "auth_token",
        "authorization",
        "bearer",
        "key",
        "token",
        "x-api-key",
    }
)


class KeyRefusal(NamedTuple):
    """Reason why a request may not run for an account.

    ``reason`` is ``"missing"``, ``"unknown"``, ``"withdrawn"``, ``"no-account"``,
    ``"route"``, ``"adapter"`` or ``"stale-configuration"``.
    """

    reason: str
    key_id: str = ""


def new_key(token_bytes):
    """Return a new key, to be shown once and stored nowhere.

    Parameters
    ----------
    token_bytes : callable
        Returns a given number of bytes from a secure source, such as
        ``secrets.token_bytes``.

    Raises
    ------
    ValueError
        If the source returns another number of bytes.
    """
    secret = token_bytes(KEY_BYTES)
    if len(secret) != KEY_BYTES:
        raise ValueError(
            f"a key needs {KEY_BYTES} bytes, the source returned {len(secret)}"
        )
    return _PREFIX + urlsafe_b64encode(secret).rstrip(b"=").decode("ascii")


def digest_key(key):
    """Return the SHA-256 digest of a key in hexadecimal."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_key(authorization):
    """Return the key in an ``Authorization`` header, or an empty string.

    Parameters
    ----------
    authorization : str
        Value of the header; empty if it is absent.
    """
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def authenticate(configuration, key):
    """Return the name of the account that a key was issued to.

    Parameters
    ----------
    configuration : Configuration
    key : str
        The key as the caller sent it; empty if none was sent.

    Returns
    -------
    str or KeyRefusal
    """
    if not key:
        return KeyRefusal("missing")
    if len(key) > _MAX_KEY_CHARS:
        return KeyRefusal("unknown")
    digest = digest_key(key)
    spec = configuration.keys.get(digest)
    if spec is None or not compare_digest(spec.digest, digest):
        return KeyRefusal("unknown")
    if spec.withdrawn:
        return KeyRefusal("withdrawn", spec.key_id)
    if spec.account not in configuration.accounts:
        return KeyRefusal("no-account", spec.key_id)
    return spec.account


def still_valid(configuration, digest, account):
    """Return whether a key that was accepted earlier is still valid for its account.

    Each open stream is checked when a new configuration comes into force, and ends
    if its key was withdrawn or removed.
    """
    spec = configuration.keys.get(digest)
    if spec is None or spec.withdrawn or spec.account != account:
        return False
    return account in configuration.accounts


def check_access(configuration, account, prefix, adapter="", age_s=0.0):
    """Check whether an account may use a route and an adapter.

    Parameters
    ----------
    configuration : Configuration
    account : str
        A declared account.
    prefix : str
        Prefix of the route.
    adapter : str
        Name of the adapter without its version; empty if none is used.
    age_s : float
        Seconds since this node's configuration was confirmed as the latest.

    Returns
    -------
    KeyRefusal or None
        None if the account may use the route and the adapter now.
    """
    spec = configuration.accounts[account]
    if 0 < spec.stale_bound_s < age_s:
        return KeyRefusal("stale-configuration")
    if spec.routes and prefix not in spec.routes:
        return KeyRefusal("route")
    if not adapter:
        return None
    allowed = configuration.adapters[adapter].accounts
    if allowed and account not in allowed:
        return KeyRefusal("adapter")
    return None


def strip_credentials(headers, query="", key=""):
    """Remove all credentials from the headers and the query for a target.

    Headers and query fields that usually hold credentials are removed, and any
    others whose value contains the key, plain or percent-encoded.

    Parameters
    ----------
    headers : iterable of (str, str)
    query : str
        Query of the URL as sent.
    key : str
        Key of the request; empty if it has none.

    Returns
    -------
    headers : list of (str, str)
    query : str
        Remaining fields, unchanged and in their order.

    Examples
    --------
    >>> strip_credentials([("Cookie", "a"), ("Accept", "b")], "n=1&api_key=2")
    ([('Accept', 'b')], 'n=1')
    """
    kept_headers = [(n, v) for n, v in headers if not _secret_header(n, v, key)]
    parts = query.split("&") if query else []
    kept = [part for part in parts if not _secret_field(part, key)]
    return kept_headers, "&".join(kept)


def contains_key(data, key):
    """Return whether a path or body contains the key, plain or percent-encoded.

    Such a request is refused.

    Parameters
    ----------
    data : bytes
    key : str
    """
    if not key:
        return False
    forms = (key, quote(key, safe=""), quote_plus(key))
    return any(form.encode("utf-8", "surrogateescape") in data for form in forms)


def _secret_header(name, value, key):
    if name.strip().lower().replace("_", "-") in _SECRET_HEADERS:
        return True
    return _contains(value, key)


def _secret_field(part, key):
    for name, value in parse_qsl(part, keep_blank_values=True, separator="&"):
        if name.strip().lower() in _SECRET_FIELDS or _contains(name, key):
            return True
        if _contains(value, key):
            return True
    return _contains(part, key)


def _contains(text, key):
    if not key:
        return False
    once = unquote(text)
    return key in text or key in once or key in unquote_plus(unquote(once))
