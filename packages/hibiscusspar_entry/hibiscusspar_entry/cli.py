"""Command line of ``hibiscusspard``."""

import inspect
import sys
from typing import Annotated

import typer

from hibiscusspar.errors import ConfigErrorGroup
from hibiscusspar_entry.process import run_process
from hibiscusspar_entry.settings import SPECS, check_settings

__all__ = ["app", "main"]

EXIT_INVALID_SETTING = 2

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def _serve(**raw):
    """Run the entry process of one VM until SIGTERM or a drain ends it."""
    try:
        settings = check_settings(raw)
    except ConfigErrorGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTING) from None
    run_process(settings)


def _parameter(spec):
    option = typer.Option(spec.flag, envvar=spec.variable, help=spec.help)
    return inspect.Parameter(
        spec.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=spec.default,
        annotation=Annotated[str | None, option],
    )


_serve.__signature__ = inspect.Signature([_parameter(spec) for spec in SPECS])
_serve.__annotations__ = {spec.name: _parameter(spec).annotation for spec in SPECS}
app.command()(_serve)


def main():
    """Run the command line."""
    app(prog_name="hibiscusspard")


if __name__ == "__main__":
    main()
