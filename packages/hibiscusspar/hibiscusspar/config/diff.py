"""Differences between two configurations, as shown to operators."""

from typing import Any, NamedTuple

from hibiscusspar.config.chunks import split_configuration

__all__ = ["Change", "changed_chunks", "diff", "render_change"]

_SECTIONS = ("services", "targets", "routes", "models", "adapters", "accounts", "keys")


class Change(NamedTuple):
    """An entity that was added, removed or changed.

    ``fields`` holds (field, old value, new value) for each changed field.
    """

    section: str
    name: str
    action: str
    fields: tuple[tuple[str, Any, Any], ...] = ()


def diff(old, new):
    """Return the changes from one configuration to another.

    Parameters
    ----------
    old, new : Configuration

    Returns
    -------
    list of Change
        Sorted by section and name; revisions are not compared.
    """
    changes = []
    for section in _SECTIONS:
        changes += _diff_table(section, getattr(old, section), getattr(new, section))
    if old.weight_store != new.weight_store:
        fields = _changed_fields(old.weight_store, new.weight_store)
        changes.append(Change("weight_store", "weight_store", "changed", fields))
    return changes


def render_change(change):
    """Return a change as one line of text."""
    line = f"{change.action} {change.section} {change.name}"
    details = [f"{name}: {old!r} -> {new!r}" for name, old, new in change.fields]
    return f"{line} ({', '.join(details)})" if details else line


def changed_chunks(old, new):
    """Return the chunks of ``new`` that ``old`` doesn't have."""
    held = {chunk.name for chunk in split_configuration(old, "", "")[1]}
    return [
        chunk for chunk in split_configuration(new, "", "")[1] if chunk.name not in held
    ]


def _diff_table(section, old, new):
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(Change(section, name, "added"))
        elif name not in new:
            changes.append(Change(section, name, "removed"))
        elif old[name] != new[name]:
            fields = _changed_fields(old[name], new[name])
            changes.append(Change(section, name, "changed", fields))
    return changes


def _changed_fields(old, new):
    pairs = zip(old._fields, old, new, strict=True)
    return tuple((name, a, b) for name, a, b in pairs if a != b)
