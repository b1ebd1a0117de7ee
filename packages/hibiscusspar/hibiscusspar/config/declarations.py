"""Conversion of decoded declaration files to one validated configuration.

The errors of all files are reported together, in one
:class:`~hibiscusspar.errors.ConfigErrorGroup`.
"""

from hibiscusspar.config import fields as f
from hibiscusspar.config.fields import REQUIRED, Field, read_table
from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    ModelSpec,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    WeightStoreSpec,
    empty_configuration,
)
from hibiscusspar.config.references import check_references
from hibiscusspar.errors import ConfigError, ConfigErrorGroup

__all__ = ["from_declarations"]

_TOKENS = "tokens"
_SECONDS = "seconds"

_SERVICE = (
    Field("name", f.name),
    Field("kind", f.choice("engine", "plain")),
    Field("model", f.name, ""),
)
_TARGET = (
    Field("name", f.name),
    Field("service", f.name),
    Field("address", f.address),
    Field("zone", f.name),
    Field("checks_fencing", f.boolean, False),
    Field("slots", f.positive_integer, 8),
    Field("concurrency", f.positive_integer, 16),
    Field("draining", f.boolean, False),
)
_ROUTE = (
    Field("prefix", f.path_prefix),
    Field("service", f.name),
    Field("idempotent", f.boolean, False),
    Field("open_to_all", f.boolean, False),
    Field("deadline_s", f.number(_SECONDS), 30.0),
)
_MODEL = (
    Field("name", f.name),
    Field("bytes_per_token", f.number("bytes per token"), 1.0),
    Field("max_tokens", f.positive_integer, 1024),
)
_ADAPTER = (
    Field("name", f.name),
    Field("model", f.name),
    Field("versions", f.names),
    Field("current", f.name, ""),
    Field("accounts", f.names, ()),
)
_ADAPTER_GROUP = (Field("names", f.names), *_ADAPTER[1:])
_ACCOUNT = (
    Field("name", f.name),
    Field("rate", f.number("tokens per second")),
    Field("burst", f.number(_TOKENS)),
    Field("weight", f.number("parts"), 1.0),
    Field("zone_fractions", f.fractions, ()),
    Field("routes", lambda v: tuple(map(f.path_prefix, _require_list(v))), ()),
    Field("stale_bound_s", f.number(_SECONDS, allow_zero=True), 0.0),
)
_WEIGHT_STORE = (
    Field("loads_per_s", f.number("loads per second"), 3.0),
    Field("max_in_transit", f.positive_integer, 8),
)
_TABLES = {
    "services": (_SERVICE, ServiceSpec, "name"),
    "targets": (_TARGET, TargetSpec, "name"),
    "routes": (_ROUTE, RouteSpec, "prefix"),
    "models": (_MODEL, ModelSpec, "name"),
    "adapters": (_ADAPTER, AdapterSpec, "name"),
    "accounts": (_ACCOUNT, AccountSpec, "name"),
}
_SINGLE_TABLES = ("service", "weight_store")
_SECTIONS = (*_TABLES, "adapter_groups", *_SINGLE_TABLES)


def from_declarations(files):
    """Return the configuration that a set of decoded files declares.

    Parameters
    ----------
    files : list of (str, dict)
        File names and decoded TOML.

    Returns
    -------
    Configuration
        At revision 0 and without keys, which are issued and not declared.

    Raises
    ------
    ConfigErrorGroup
        If the declarations have errors; it holds one ConfigError for each.
    """
    tables = _Tables()
    for file, mapping in files:
        tables.add_file(file, mapping)
    _resolve_versions(tables)
    check_references(tables.rows, tables.locations, tables.errors)
    if tables.errors:
        count = len(tables.errors)
        raise ConfigErrorGroup(f"{count} errors in the declarations", tables.errors)
    _fill_fractions(tables.rows)
    store = tables.weight_store or WeightStoreSpec()
    return empty_configuration()._replace(weight_store=store, **tables.rows)


class _Tables:
    """Rows read so far, the location of each, and the errors found."""

    def __init__(self):
        self.rows = {section: {} for section in _TABLES}
        self.locations = {}
        self.errors = []
        self.weight_store = None

    def add_file(self, file, mapping):
        for key in sorted(set(mapping) - set(_SECTIONS)):
            reason = f"is not a known section; known are {', '.join(_SECTIONS)}"
            self.errors.append(ConfigError(file, key, reason))
        defaults = self._add_service(file, mapping)
        for section in _TABLES:
            for path, table in self._entries(file, mapping, section):
                self._add(file, path, section, table, defaults)
        for path, table in self._entries(file, mapping, "adapter_groups"):
            self._add_group(file, path, table, defaults)
        if "weight_store" in mapping:
            self._set_weight_store(file, mapping["weight_store"])

    def _add_service(self, file, mapping):
        """Add the service of a file and return its defaults for the file's tables."""
        if "service" not in mapping:
            return {}
        table = mapping["service"]
        self._add(file, "service", "services", table, {})
        if not isinstance(table, dict):
            return {}
        return {
            k: table[s]
            for k, s in (("service", "name"), ("model", "model"))
            if s in table
        }

    def _entries(self, file, mapping, section):
        entries = mapping.get(section, [])
        if not isinstance(entries, list):
            self.errors.append(
                ConfigError(file, section, f"must be an array of tables, [[{section}]]")
            )
            return []
        return [(f"{section}.{i}", table) for i, table in enumerate(entries)]

    def _add(self, file, path, section, table, defaults):
        fields, spec, key = _TABLES[section]
        values = read_table(
            file, path, table, _with_defaults(fields, defaults), self.errors
        )
        if values is not None:
            self._put(file, path, section, values[key], spec(**values))

    def _add_group(self, file, path, table, defaults):
        fields = _with_defaults(_ADAPTER_GROUP, defaults)
        values = read_table(file, path, table, fields, self.errors)
        if values is None:
            return
        names = values.pop("names")
        for i, name in enumerate(names):
            row = AdapterSpec(name=name, **values)
            self._put(file, f"{path}.names.{i}", "adapters", name, row)

    def _put(self, file, path, section, key, row):
        if key in self.rows[section]:
            other = "{}: {}".format(*self.locations[section, key])
            reason = f"{key!r} is already declared at {other}"
            self.errors.append(ConfigError(file, path, reason))
            return
        self.rows[section][key] = row
        self.locations[section, key] = (file, path)

    def _set_weight_store(self, file, table):
        path = "weight_store"
        values = read_table(file, path, table, _WEIGHT_STORE, self.errors)
        if self.weight_store is not None:
            reason = "is already declared in another file"
            self.errors.append(ConfigError(file, path, reason))
        if values is not None:
            self.weight_store = WeightStoreSpec(**values)


def _with_defaults(fields, defaults):
    return [
        field._replace(default=defaults[field.name])
        if field.default is REQUIRED and field.name in defaults
        else field
        for field in fields
    ]


def _require_list(value):
    if not isinstance(value, list):
        raise ValueError("must be a list of path prefixes")
    return value


def _resolve_versions(tables):
    for name, spec in tables.rows["adapters"].items():
        file, path = tables.locations["adapters", name]
        if not spec.versions:
            reason = "must list at least one version"
            tables.errors.append(ConfigError(file, f"{path}.versions", reason))
        elif not spec.current:
            spec = spec._replace(current=spec.versions[-1])
            tables.rows["adapters"][name] = spec
        elif spec.current not in spec.versions:
            reason = f"{spec.current!r} is not one of its versions"
            tables.errors.append(ConfigError(file, f"{path}.current", reason))


def _fill_fractions(rows):
    zones = sorted({target.zone for target in rows["targets"].values()})
    equal = tuple((zone, 1 / len(zones)) for zone in zones)
    for name, account in rows["accounts"].items():
        if not account.zone_fractions:
            rows["accounts"][name] = account._replace(zone_fractions=equal)
