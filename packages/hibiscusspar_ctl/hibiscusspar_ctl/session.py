"""Options and helpers common to all commands."""

import json
from getpass import getuser
from random import Random
from secrets import token_hex
from typing import NamedTuple

from typer import Exit, Option, echo

from hibiscusspar.config.diff import render_change
from hibiscusspar_ctl.authors import edit_author
from hibiscusspar_ctl.exit_codes import ExitCode
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.publishing import publish_edit

__all__ = [
    "NODE_OPTION",
    "Session",
    "apply_edit",
    "change_rows",
    "default_author",
    "print_result",
    "table",
]

DEADLINE_S = 10.0
CALLS_PER_S = 50.0
CALL_BURST = 200.0
NODE_OPTION = Option(
    [], "--node", help="IP:PORT of the operators' port of a node; may be repeated."
)


class Session(NamedTuple):
    """Common options, which are given before the command."""

    platform_address: str
    author: str
    output: str

    def platform(self):
        """Return a client of the platform; exit if no address was given."""
        if not self.platform_address:
            echo("give --platform IP:PORT or set HIBISCUSSPAR_PLATFORM", err=True)
            raise Exit(ExitCode.BAD_INPUT)
        return PlatformClient(
            self.platform_address,
            Random(),
            deadline_s=DEADLINE_S,
            calls_per_s=CALLS_PER_S,
            burst=CALL_BURST,
        )


def default_author():
    """Return the name of the operating system's user, or ``"operator"``."""
    try:
        return getuser()
    except (KeyError, OSError):
        return "operator"


def print_result(session, data, lines):
    """Print ``data`` as JSON or ``lines`` as text, depending on ``--output``."""
    if session.output == "json":
        echo(json.dumps(data, sort_keys=True))
        return
    for line in lines:
        echo(line)


def table(columns, rows):
    """Return the lines of a table with aligned columns."""
    widths = [
        max(len(str(row[i])) for row in (columns, *rows)) for i in range(len(columns))
    ]
    return [
        "  ".join(str(cell).rjust(w) for cell, w in zip(row, widths, strict=True))
        for row in (columns, *rows)
    ]


def change_rows(changes):
    """Return changes as data for JSON."""
    return [
        {
            "section": row.section,
            "name": row.name,
            "action": row.action,
            "fields": [list(field) for field in row.fields],
        }
        for row in changes
    ]


def apply_edit(session, edit):
    """Put an edit of the configuration in force and show its changes."""
    author = edit_author(session.author)
    published = publish_edit(session.platform(), edit, author, token_hex)
    data = {"revision": published.revision, "changes": change_rows(published.changes)}
    lines = [render_change(row) for row in published.changes]
    print_result(session, data, [*lines, f"revision {published.revision} is published"])
