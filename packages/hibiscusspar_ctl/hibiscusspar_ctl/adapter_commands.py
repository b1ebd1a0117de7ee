"""Commands for adapters and their versions."""

from typer import Argument, Context, Option, Typer

from hibiscusspar_ctl import edits
from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.session import apply_edit, print_result
from hibiscusspar_wire.publishing import read_current

__all__ = ["adapters"]

_NAME = Argument(..., help="Name of the adapter.")
_VERSION = Argument(..., help="Version of the adapter.")

adapters = Typer(
    no_args_is_help=True,
    help="List adapters and change their versions in the configuration in force. "
    "Make the same change in the files, or the next 'publish' reverts it.",
)


@adapters.command("list")
def list_adapters(
    context: Context,
    prefix: str = Option("", help="Only adapters whose names start with this."),
):
    """List adapters and their versions; '*' marks the current version."""
    session = context.obj
    with reported_errors():
        rows = read_current(session.platform()).configuration.adapters.values()
    chosen = sorted(row for row in rows if row.name.startswith(prefix))
    lines = [f"{row.name}  {row.model}  {_versions(row)}" for row in chosen]
    print_result(session, {"adapters": [row._asdict() for row in chosen]}, lines)


@adapters.command("add-version")
def add_version(
    context: Context,
    name: str = _NAME,
    version: str = _VERSION,
    current: bool = Option(
        False,
        help="Make it the current version, which is used if a request names none.",
    ),
):
    """Add a version to an adapter."""
    with reported_errors():
        apply_edit(
            context.obj, lambda base: edits.add_version(base, name, version, current)
        )


@adapters.command("make-current")
def make_current(context: Context, name: str = _NAME, version: str = _VERSION):
    """Set the current version of an adapter, used if a request names none."""
    with reported_errors():
        apply_edit(context.obj, lambda base: edits.make_current(base, name, version))


@adapters.command()
def retire(
    context: Context,
    name: str = _NAME,
    version: str = Option("", help="Remove only this version."),
):
    """Remove an adapter, or one of its versions that is not the current one."""
    with reported_errors():
        apply_edit(context.obj, lambda base: edits.retire(base, name, version))


def _versions(row):
    return " ".join(f"{v}*" if v == row.current else v for v in row.versions)
