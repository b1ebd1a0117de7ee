"""Structured logs: JSON lines written by eliot, with numbered events."""

import sys
from time import time

from eliot import FileDestination, Logger, add_destinations

__all__ = ["open_log", "write_records"]

_LOGGER = Logger()


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
    # The lines belong to no action of eliot, which would take two thirds of the time.
    for kind, fields in records:
        line = {"timestamp": time(), "message_type": kind.name, "event": kind.number}
        _LOGGER.write(line | fields)
