"""Commands for declarations: check, diff and publish."""

from secrets import token_hex

from typer import Argument, Context, Exit, Option, confirm, echo

from hibiscusspar.config.diff import diff as changes_between
from hibiscusspar.config.diff import render_change
from hibiscusspar.errors import StepError
from hibiscusspar_ctl.authors import edits_since_publish
from hibiscusspar_ctl.exit_codes import ExitCode, reported_errors
from hibiscusspar_ctl.nodes import node_statuses
from hibiscusspar_ctl.session import NODE_OPTION, change_rows, print_result
from hibiscusspar_wire import publishing
from hibiscusspar_wire.publishing import PublishConflictError

__all__ = ["check", "diff", "publish"]

MAX_SHOWN_CHANGES = 40
_PATHS = Argument(..., help="Directories of TOML files, or single files.")


def check(context: Context, paths: list[str] = _PATHS):
    """Check declarations and report all errors, without contacting the platform."""
    with reported_errors():
        configuration = publishing.read_directories(paths)
    counts = {
        section: len(getattr(configuration, section))
        for section in ("services", "targets", "routes", "models")
        + ("adapters", "accounts")
    }
    text = ", ".join(f"{count} {section}" for section, count in counts.items())
    print_result(context.obj, {"ok": True, "counts": counts}, [f"no errors: {text}"])


def diff(context: Context, paths: list[str] = _PATHS):
    """Show what publishing would change, without changing anything."""
    with reported_errors():
        declared = publishing.read_directories(paths)
        base = publishing.read_current(context.obj.platform())
    changes = _find_changes(base.configuration, declared)
    data = {"revision": base.configuration.revision, "changes": change_rows(changes)}
    summary = f"{len(changes)} changes to revision {base.configuration.revision}"
    print_result(context.obj, data, [*map(render_change, changes), summary])


def publish(
    context: Context,
    paths: list[str] = _PATHS,
    yes: bool = Option(False, "--yes", help="Publish without asking for confirmation."),
    over_edits: bool = Option(
        False,
        "--over-edits",
        help="Overwrite edits made on the command line since the last publish.",
    ),
    wait: float = Option(
        0.0, help="Seconds to wait until all given nodes report the revision."
    ),
    node: list[str] = NODE_OPTION,
):
    """Check declarations, show the changes and put them in force.

    Either all changes take effect or none. If another operator published in the
    meantime, the command shows that change and exits with 1. Issued keys are kept.
    """
    session = context.obj
    if wait and not node:
        echo("--wait needs at least one --node", err=True)
        raise Exit(ExitCode.BAD_INPUT)
    with reported_errors():
        published = _publish(session, paths, yes, over_edits)
    late = _wait_for_nodes(node, published.revision, wait) if wait else []
    data = {"revision": published.revision, "chunks": published.chunks}
    data |= {"changes": change_rows(published.changes), "late": late}
    lines = [f"revision {published.revision} is published"]
    lines += [f"not yet in force at {vm}" for vm in late]
    print_result(session, data, lines)
    if late:
        raise Exit(ExitCode.NOT_IN_FORCE)


def _publish(session, paths, yes, over_edits):
    declared = publishing.read_directories(paths)
    platform = session.platform()
    base = publishing.read_current(platform)
    changes = _find_changes(base.configuration, declared)
    for line in _change_lines(changes):
        echo(line, err=True)
    if changes and not over_edits:
        _refuse_over_edits(base.root)
    if not yes:
        confirm(f"publish {len(changes)} changes?", abort=True, err=True)
    try:
        return publishing.publish(
            platform,
            declared,
            base.version,
            session.author,
            token_hex,
            base_configuration=base.configuration,
        )
    except PublishConflictError as conflict:
        for change in conflict.changes:
            echo(f"{conflict.author}: {render_change(change)}", err=True)
        raise


def _find_changes(base, declared):
    return changes_between(base, declared._replace(keys=base.keys))


def _refuse_over_edits(root):
    edits = edits_since_publish(root)
    if edits:
        listing = ", ".join(f"{revision} by {author}" for revision, author in edits)
        reason = f"edits from the command line are in force ({listing}); make them in "
        reason += "the files, check with 'diff', then publish with --over-edits"
        raise StepError("publish.check", "", reason)


def _change_lines(changes):
    lines = [render_change(change) for change in changes[:MAX_SHOWN_CHANGES]]
    if len(changes) > MAX_SHOWN_CHANGES:
        lines.append(f"and {len(changes) - MAX_SHOWN_CHANGES} more; 'diff' shows all")
    return lines


def _wait_for_nodes(addresses, revision, timeout_s):
    """Return the nodes that don't report the revision in time."""

    def observe():
        rows = node_statuses(addresses)
        return {row["address"]: row.get("revision", 0) for row in rows}

    return publishing.wait_for_revision(observe, revision, timeout_s)
