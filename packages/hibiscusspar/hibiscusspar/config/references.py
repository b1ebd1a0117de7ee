"""Validation of references between declared entities."""

from hibiscusspar.errors import ConfigError

__all__ = ["check_references"]


def check_references(rows, locations, errors):
    """Append an error for each invalid reference.

    Parameters
    ----------
    rows : dict of str to dict
        Rows by name, for each section.
    locations : dict of (str, str) to (str, str)
        File and key path by section and name of the row.
    errors : list of ConfigError
    """
    recorder = _ErrorRecorder(locations, errors)
    _check_services(rows, recorder)
    _check_targets(rows, recorder)
    _check_routes(rows, recorder)
    _check_adapters(rows, recorder)
    _check_accounts(rows, recorder)


class _ErrorRecorder:
    def __init__(self, locations, errors):
        self._locations = locations
        self._errors = errors

    def add(self, section, row, key, reason):
        file, path = self._locations[section, row]
        self._errors.append(ConfigError(file, f"{path}.{key}", reason))


def _undeclared(kind, name):
    return f"{kind} {name!r} is not declared"


def _check_services(rows, recorder):
    for name, service in rows["services"].items():
        if service.kind == "plain":
            if service.model:
                recorder.add("services", name, "model", "a plain service has no model")
        elif service.model not in rows["models"]:
            reason = _undeclared("model", service.model)
            recorder.add("services", name, "model", reason)


def _check_targets(rows, recorder):
    addresses = {}
    for name, target in rows["targets"].items():
        if target.service not in rows["services"]:
            reason = _undeclared("service", target.service)
            recorder.add("targets", name, "service", reason)
        other = addresses.setdefault(target.address, name)
        if other != name:
            recorder.add(
                "targets", name, "address", f"is also that of target {other!r}"
            )


def _check_routes(rows, recorder):
    for prefix, route in rows["routes"].items():
        if route.service not in rows["services"]:
            reason = _undeclared("service", route.service)
            recorder.add("routes", prefix, "service", reason)


def _check_adapters(rows, recorder):
    for name, adapter in rows["adapters"].items():
        if adapter.model not in rows["models"]:
            reason = _undeclared("model", adapter.model)
            recorder.add("adapters", name, "model", reason)
        if "@" in name:
            recorder.add("adapters", name, "name", "must not contain '@'")
        for account in adapter.accounts:
            if account not in rows["accounts"]:
                reason = _undeclared("client account", account)
                recorder.add("adapters", name, "accounts", reason)


def _check_accounts(rows, recorder):
    zones = {target.zone for target in rows["targets"].values()}
    for name, account in rows["accounts"].items():
        for zone, _ in account.zone_fractions:
            if zone not in zones:
                reason = f"no target is in zone {zone!r}"
                recorder.add("accounts", name, f"zone_fractions.{zone}", reason)
        for prefix in account.routes:
            if prefix not in rows["routes"]:
                reason = _undeclared("route", prefix)
                recorder.add("accounts", name, "routes", reason)
