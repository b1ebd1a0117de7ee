"""Commands that drain targets and entry VMs without interrupting requests."""

from typer import Argument, Context, Option, Typer

from hibiscusspar_ctl.edits import drain_target
from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.nodes import drain_node
from hibiscusspar_ctl.session import apply_edit, print_result

__all__ = ["drains"]

drains = Typer(
    no_args_is_help=True,
    help="Drain a target or an entry VM: no new requests, open ones finish.",
)


@drains.command()
def target(
    context: Context,
    name: str = Argument(..., help="Name of the target."),
    undo: bool = Option(False, help="Stop draining the target."),
):
    """Drain a target; set 'draining = true' in its file too."""
    with reported_errors():
        apply_edit(context.obj, lambda base: drain_target(base, name, not undo))


@drains.command()
def vm(
    context: Context,
    node: str = Argument(..., help="IP:PORT of the node's operators' port."),
    secret: str = Option(
        ..., envvar="HIBISCUSSPAR_PEER_SECRET", help="Secret shared by the entry VMs."
    ),
):
    """Drain an entry VM: it finishes its requests, hands over its roles and exits."""
    with reported_errors():
        drain_node(node, secret)
    print_result(context.obj, {"node": node, "draining": True}, [f"{node} is draining"])
