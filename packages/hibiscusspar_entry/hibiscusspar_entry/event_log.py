"""Structured logs: JSON lines written by eliot, with numbered events."""

import sys

from eliot import FileDestination, add_destinations, log_message

__all__ = ["open_log", "write_records"]


def open_log(path, **common):
    """Write log lines to a file, or to standard output if the path is empty.

    Parameters
    ----------
    path : str
    **common
        Fields added to each line, such as the VM and its zone.
    """
    stream = open(path, "ab", buffering=0) if path else sys.stdout.buffer  # noqa: SIM115
    destination = FileDestination(file=stream)
    add_destinations(lambda message: destination({**message, **common}))


def write_records(records):
    """Write :class:`~hibiscusspar.outbox.LogRecord` entries as log lines."""
    for kind, fields in records:
        log_message(message_type=kind.name, event=kind.number, **fields)
