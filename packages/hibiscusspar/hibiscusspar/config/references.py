"""Validation of references between declared entities."""

from hibiscusspar.errors import ConfigError

__all__ = ["check_references"]


def check_references(rows, places, faults):
    """Append an error for each invalid reference.

    Parameters
    ----------
    rows : dict of str to dict
        Rows by name, for each section.
    places : dict of (str, str) to (str, str)
        File and key path by section and name of the row.
    faults : list of ConfigError
    """
    found = _Faults(places, faults)
    _check_services(rows, found)
    _check_targets(rows, found)
    _check_routes(rows, found)
    _check_adapters(rows, found)
    _check_accounts(rows, found)


class _Faults:
    def __init__(self, places, faults):
        self._places = places
        self._faults = faults

    def add(self, section, row, key, reason):
        file, path = self._places[section, row]
        self._faults.append(ConfigError(file, f"{path}.{key}", reason))


def _undeclared(kind, name):
    return f"{kind} {name!r} is not declared"


def _check_services(rows, found):
    for name, service in rows["services"].items():
        if service.kind == "plain":
            if service.model:
                found.add("services", name, "model", "a plain service has no model")
        elif service.model not in rows["models"]:
            reason = _undeclared("model", service.model)
            found.add("services", name, "model", reason)


def _check_targets(rows, found):
    addresses = {}
    for name, target in rows["targets"].items():
        if target.service not in rows["services"]:
            reason = _undeclared("service", target.service)
            found.add("targets", name, "service", reason)
        other = addresses.setdefault(target.address, name)
        if other != name:
            found.add("targets", name, "address", f"is also that of target {other!r}")


def _check_routes(rows, found):
    for prefix, route in rows["routes"].items():
        if route.service not in rows["services"]:
            reason = _undeclared("service", route.service)
            found.add("routes", prefix, "service", reason)


def _check_adapters(rows, found):
    for name, adapter in rows["adapters"].items():
        if adapter.model not in rows["models"]:
            reason = _undeclared("model", adapter.model)
            found.add("adapters", name, "model", reason)
        if "@" in name:
            found.add("adapters", name, "name", "must not contain '@'")
        for account in adapter.accounts:
            if account not in rows["accounts"]:
                reason = _undeclared("client account", account)
                found.add("adapters", name, "accounts", reason)


def _check_accounts(rows, found):
    zones = {target.zone for target in rows["targets"].values()}
    for name, account in rows["accounts"].items():
        for zone, _ in account.zone_fractions:
            if zone not in zones:
                reason = f"no target is in zone {zone!r}"
                found.add("accounts", name, f"zone_fractions.{zone}", reason)
        for prefix in account.routes:
            if prefix not in rows["routes"]:
                reason = _undeclared("route", prefix)
                found.add("accounts", name, "routes", reason)
