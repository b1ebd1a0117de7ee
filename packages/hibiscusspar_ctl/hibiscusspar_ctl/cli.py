"""Application ``hibiscussparctl`` and its common options."""

from enum import StrEnum

from typer import Context, Option, Typer

from hibiscusspar_ctl.adapter_commands import adapters
from hibiscusspar_ctl.declaration_commands import check, diff, publish
from hibiscusspar_ctl.drain_commands import drains
from hibiscusspar_ctl.evacuations_command import evacuations
from hibiscusspar_ctl.explain_command import explain
from hibiscusspar_ctl.key_commands import keys
from hibiscusspar_ctl.session import Session, default_author
from hibiscusspar_ctl.status_command import status

__all__ = ["app", "main"]

EPILOG = (
    "Exit codes: 0 done; 1 refused or in conflict, nothing changed; 2 bad input; "
    "3 platform not reachable, nothing changed; 4 outcome unknown, check with "
    "'status'; 5 published, but not yet reported by all nodes."
)

app = Typer(
    no_args_is_help=True,
    add_completion=False,
    epilog=EPILOG,
    help="Operate a hibiscusspar deployment from files and the command line.",
)


class Output(StrEnum):
    """Output format."""

    text = "text"
    json = "json"


_OUTPUT = Option(Output.text, help="Output format.")


@app.callback()
def options(
    context: Context,
    platform: str = Option(
        "", envvar="HIBISCUSSPAR_PLATFORM", help="IP:PORT of the platform's object API."
    ),
    author: str = Option(
        "", envvar="HIBISCUSSPAR_AUTHOR", help="Name recorded with each change."
    ),
    output: Output = _OUTPUT,
):
    """Store the options common to all commands."""
    context.obj = Session(platform, author or default_author(), output.value)


options.__doc__ = app.info.help
app.command()(check)
app.command()(diff)
app.command()(publish)
app.command()(status)
app.command()(explain)
app.command()(evacuations)
app.add_typer(keys, name="key")
app.add_typer(adapters, name="adapter")
app.add_typer(drains, name="drain")


def main():
    """Run the command line tool."""
    app(prog_name="hibiscussparctl")
