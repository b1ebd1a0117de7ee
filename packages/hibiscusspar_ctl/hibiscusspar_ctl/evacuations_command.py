"""Command that shows from log lines how nodes followed evacuations of zones."""

from itertools import chain

from typer import Argument, Context, FileText

from hibiscusspar_ctl.evacuation_report import read_evacuations
from hibiscusspar_ctl.session import print_result, table

__all__ = ["evacuations"]

_LOGS = Argument(..., help="Log files of nodes, or one of several nodes; - for stdin.")
_COLUMNS = ("node", "learned", "source", "last request", "returned")


def evacuations(context: Context, logs: list[FileText] = _LOGS):
    """Show when nodes learned of evacuations, and their last requests to the zones.

    Times of nodes are in seconds since the first node learned of the evacuation.
    """
    found = read_evacuations(chain.from_iterable(logs))
    data = [
        {
            "zone": row.zone,
            "begins_at": row.begins_at,
            "nodes": [_node_data(row, node) for node in row.nodes],
        }
        for row in found
    ]
    print_result(context.obj, {"evacuations": data}, _lines(data))


def _node_data(evacuation, row):
    times = (row.learned_at, row.last_sent_at, row.returned_at)
    learned, last, returned = (
        None if at is None else round(at - evacuation.begins_at, 3) for at in times
    )
    return dict(
        zip(_COLUMNS, (row.node, learned, row.source, last, returned), strict=True)
    )


def _lines(data):
    if not data:
        yield "no zone was evacuated"
    for row in data:
        yield f"{row['zone']} from {row['begins_at']:.3f}"
        rows = [["" if v is None else v for v in n.values()] for n in row["nodes"]]
        yield from table(_COLUMNS, rows)
        yield ""
