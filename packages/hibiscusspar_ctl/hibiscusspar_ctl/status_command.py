"""Command that shows the revision in force and the status of nodes."""

from typer import Context

from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.nodes import node_statuses
from hibiscusspar_ctl.session import NODE_OPTION, print_result
from hibiscusspar_wire.publishing import read_current

__all__ = ["status"]


def status(context: Context, node: list[str] = NODE_OPTION):
    """Show the revision in force, the VMs that the platform lists, and given nodes."""
    session = context.obj
    with reported_errors():
        platform = session.platform()
        found = read_current(platform)
        vms = platform.vms().vms
    root = found.root or {"author": "", "history": []}
    data = {
        "revision": found.configuration.revision,
        "author": root["author"],
        "history": root.get("history", []),
        "vms": [_vm_row(row) for row in vms],
        "nodes": node_statuses(node),
    }
    print_result(session, data, _lines(data))


def _vm_row(row):
    return {"vm": row.vm, "zone": row.zone, "address": row.address, "state": row.state}


def _lines(data):
    yield f"revision {data['revision']} by {data['author'] or 'nobody'}"
    for row in data["vms"]:
        yield f"vm {row['vm']}  {row['zone']}  {row['address']}  {row['state']}"
    for row in data["nodes"]:
        known = row.get("error") or f"revision {row.get('revision', 'unknown')}"
        yield f"node {row['address']}  {known}"
