"""Validation of the fields of a declared table."""

import re
from typing import Any, NamedTuple

from hibiscusspar.errors import ConfigError

__all__ = [
    "REQUIRED",
    "Field",
    "address",
    "boolean",
    "choice",
    "fractions",
    "name",
    "names",
    "non_empty_string",
    "number",
    "path_prefix",
    "positive_integer",
    "read_table",
]

REQUIRED = object()

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}\Z")
_ADDRESS = re.compile(r"(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[[0-9a-fA-F:]+\]):(\d+)\Z")
_MAX_PORT = 65535
_FRACTION_TOLERANCE = 1e-9


class Field(NamedTuple):
    """A field of a table; ``check`` returns the valid value or raises ValueError."""

    name: str
    check: Any
    default: Any = REQUIRED


def read_table(file, path, mapping, fields, errors):
    """Validate a table against its fields.

    Parameters
    ----------
    file, path : str
        File and key path of the table, for the errors.
    mapping : object
        The decoded table.
    fields : sequence of Field
    errors : list of ConfigError
        Every error found is appended.

    Returns
    -------
    dict or None
        Values of all fields; None if the table has an error.
    """
    if not isinstance(mapping, dict):
        errors.append(ConfigError(file, path, "must be a table"))
        return None
    before = len(errors)
    known = {field.name for field in fields}
    for key in sorted(set(mapping) - known):
        reason = f"is not a known key; known are {', '.join(sorted(known))}"
        errors.append(ConfigError(file, f"{path}.{key}", reason))
    values = {}
    for field in fields:
        values[field.name] = _read_field(file, path, mapping, field, errors)
    return values if len(errors) == before else None


def _read_field(file, path, mapping, field, errors):
    if field.name not in mapping:
        if field.default is REQUIRED:
            errors.append(ConfigError(file, f"{path}.{field.name}", "is missing"))
        return field.default
    try:
        return field.check(mapping[field.name])
    except ValueError as error:
        errors.append(ConfigError(file, f"{path}.{field.name}", str(error)))
        return None


def non_empty_string(value):
    """Accept a non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError("must be a non-empty string")
    return value


def name(value):
    """Accept a name of up to 128 letters, digits and ``._:-``."""
    if not isinstance(value, str) or not _NAME.match(value):
        raise ValueError("must be a name of 1 to 128 letters, digits and '._:-'")
    return value


def names(value):
    """Accept a list of distinct names."""
    if not isinstance(value, list):
        raise ValueError("must be a list of names")
    found = tuple(name(item) for item in value)
    if len(set(found)) != len(found):
        raise ValueError("must not list a name twice")
    return found


def boolean(value):
    """Accept true or false."""
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def positive_integer(value):
    """Accept an integer of at least 1."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError("must be an integer of at least 1")
    return value


def number(unit, allow_zero=False):
    """Return a check for a finite number above 0, or at least 0 with ``allow_zero``."""
    least = "at least 0" if allow_zero else "above 0"

    def check(value):
        good = isinstance(value, int | float) and not isinstance(value, bool)
        if not good or not 0 <= value < float("inf") or (value == 0 and not allow_zero):
            raise ValueError(f"must be a number {least}, in {unit}")
        return float(value)

    return check


def choice(*options):
    """Return a check that accepts one of the options."""

    def check(value):
        if value not in options:
            raise ValueError(f"must be one of {', '.join(options)}")
        return value

    return check


def address(value):
    """Accept ``IP:port`` with a numeric IP address."""
    found = _ADDRESS.match(value) if isinstance(value, str) else None
    if not found or not 0 < int(found[2]) <= _MAX_PORT or not _is_ip(found[1]):
        raise ValueError("must be 'IP:port' with a numeric IP address")
    return value


def _is_ip(host):
    if host.startswith("["):
        return True
    return all(int(part) < 256 for part in host.split("."))


def path_prefix(value):
    """Accept a path prefix and remove its trailing slash."""
    if not isinstance(value, str) or not value.startswith("/"):
        raise ValueError("must be a path that starts with '/'")
    if "//" in value or "?" in value or "#" in value:
        raise ValueError("must be a plain path without '//', '?' or '#'")
    return value.rstrip("/") or "/"


def fractions(value):
    """Accept a table that maps zones to fractions with a sum of 1."""
    if not isinstance(value, dict) or not value:
        raise ValueError("must be a table that maps zones to fractions")
    check = number("parts of 1", allow_zero=True)
    pairs = tuple(sorted((name(zone), check(part)) for zone, part in value.items()))
    total = sum(part for _, part in pairs)
    if abs(total - 1) > _FRACTION_TOLERANCE:
        raise ValueError(f"fractions must sum to 1, not {total:g}")
    return pairs
