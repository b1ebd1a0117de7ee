"""Commands on adapters and their versions."""

from typer import Argument, Context, Option, Typer

from hibiscusspar_ctl import edits
from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.session import apply_edit, show
from hibiscusspar_wire.publishing import read_current

__all__ = ["adapters"]

_NAME = Argument(..., help="Name of the adapter.")
_VERSION = Argument(..., help="Version of the adapter.")

adapters = Typer(
    no_args_is_help=True,
    help="List adapters and change their versions in the configuration in force. "
    "Put the same change into the files, or the next 'publish' undoes it.",
)


@adapters.command("list")
def list_adapters(
    context: Context,
    prefix: str = Option("", help="Only adapters whose names start so."),
):
    """List adapters with their versions; the current one is marked by '*'."""
    session = context.obj
    with reported_errors():
        rows = read_current(session.platform()).configuration.adapters.values()
    chosen = sorted(row for row in rows if row.name.startswith(prefix))
    lines = [f"{row.name}  {row.model}  {_versions(row)}" for row in chosen]
    show(session, {"adapters": [row._asdict() for row in chosen]}, lines)


@adapters.command("add-version")
def add_version(
    context: Context,
    name: str = _NAME,
    version: str = _VERSION,
    current: bool = Option(False, help="Let the bare name mean this version."),
):
    """Add a version to an adapter."""
    with reported_errors():
        apply_edit(
            context.obj,
            lambda held: edits.add_version(held, name, version, current),
        )


@adapters.command("make-current")
def make_current(context: Context, name: str = _NAME, version: str = _VERSION):
    """Let the bare name of an adapter mean another of its versions."""
    with reported_errors():
        apply_edit(context.obj, lambda held: edits.make_current(held, name, version))


@adapters.command()
def retire(
    context: Context,
    name: str = _NAME,
    version: str = Option("", help="Retire only this version."),
):
    """Retire an adapter, or one version that is not the current one."""
    with reported_errors():
        apply_edit(context.obj, lambda held: edits.retire(held, name, version))


def _versions(row):
    return " ".join(f"{v}*" if v == row.current else v for v in row.versions)
