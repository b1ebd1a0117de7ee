"""Exit codes and the errors that they stand for."""

from contextlib import contextmanager
from enum import IntEnum

from typer import Exit, echo

from hibiscusspar.errors import ConfigErrorGroup, StepError
from hibiscusspar_wire.platform_errors import RefusedError, UnknownOutcomeError
from hibiscusspar_wire.publishing import PublishUnknownError

__all__ = ["ExitCode", "exit_code", "reported_errors"]


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5


def exit_code(error):
    """Return the exit code for an error."""
    if isinstance(error, ConfigErrorGroup):
        return ExitCode.BAD_INPUT
    if isinstance(error, PublishUnknownError | UnknownOutcomeError):
        return ExitCode.UNKNOWN
    if isinstance(error, RefusedError):
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


@contextmanager
def reported_errors():
    """Print errors raised in the context to stderr and exit with their code."""
    try:
        yield
    except ConfigErrorGroup as group:
        for fault in group.exceptions:
            echo(str(fault), err=True)
        raise Exit(exit_code(group)) from None
    except StepError as error:
        echo(str(error), err=True)
        raise Exit(exit_code(error)) from None
