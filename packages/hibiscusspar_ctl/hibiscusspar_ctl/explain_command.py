"""Command that explains from log lines where requests were lost."""

from itertools import chain
from statistics import median

from typer import Argument, Context, Exit, FileText, Option, echo

from hibiscusspar_ctl.exit_codes import ExitCode
from hibiscusspar_ctl.log_report import COLUMNS, read_report
from hibiscusspar_ctl.session import print_result, table

__all__ = ["explain"]

_LOGS = Argument(..., help="Log files of nodes, or one of several nodes; - for stdin.")
_STEP = Option(
    2.0, "--step", min=0.001, help="Length of a row of the table in seconds."
)
# Reasons may hold an address or an error, so there may be very many.
_MAX_CAUSES = 40
_ROUTES = Option(False, "--routes", help="Count each route by itself.")


def explain(
    context: Context,
    logs: list[FileText] = _LOGS,
    step: float = _STEP,
    routes: bool = _ROUTES,
):
    """Show from log lines what became of requests, and why they were not served."""
    report = read_report(chain.from_iterable(logs), step)
    if not report.steps:
        echo("the logs have no lines about requests", err=True)
        raise Exit(ExitCode.BAD_INPUT)
    if routes:
        steps = [
            {"second": at, "route": route, **_columns(counts)}
            for (at, route), counts in sorted(report.route_steps.items())
        ]
    else:
        steps = [
            {"second": at, **_columns(counts)}
            for at, counts in sorted(report.steps.items())
        ]
    data = {
        "steps": steps,
        "refused": [
            {
                "count": len(waits),
                "status": status,
                "reason": reason,
                "median_wait_s": round(median(waits), 3),
            }
            for (status, reason), waits in sorted(
                report.waits.items(), key=lambda row: -len(row[1])
            )
        ],
        "broken": [
            {"count": count, "status": status, "reason": reason}
            for (status, reason), count in report.broken.most_common(_MAX_CAUSES)
        ],
    }
    print_result(context.obj, data, _lines(data))


def _columns(counts):
    return {column: counts[column] for column in COLUMNS}


def _lines(data):
    for rows in data.values():
        if rows:
            yield from table(list(rows[0]), [list(row.values()) for row in rows])
            yield ""
