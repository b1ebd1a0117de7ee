"""Commands that take targets and entry VMs out of use without cutting requests."""

from typer import Argument, Context, Option, Typer

from hibiscusspar_ctl.edits import drain_target
from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.nodes import drain_node
from hibiscusspar_ctl.session import apply_edit, show

__all__ = ["drains"]

drains = Typer(
    no_args_is_help=True, help="Let a target or an entry VM finish and get no new work."
)


@drains.command()
def target(
    context: Context,
    name: str = Argument(..., help="Name of the target."),
    undo: bool = Option(False, help="Give it work again."),
):
    """Let a target finish what it runs; put 'draining = true' into its file too."""
    with reported_errors():
        apply_edit(context.obj, lambda held: drain_target(held, name, not undo))


@drains.command()
def vm(
    context: Context,
    node: str = Argument(..., help="IP:PORT of the node's operators' port."),
    secret: str = Option(
        ..., envvar="HIBISCUSSPAR_PEER_SECRET", help="Secret that the entry VMs share."
    ),
):
    """Let an entry VM finish its requests, hand over its roles and exit."""
    with reported_errors():
        drain_node(node, secret)
    show(context.obj, {"node": node, "draining": True}, [f"{node} drains"])
