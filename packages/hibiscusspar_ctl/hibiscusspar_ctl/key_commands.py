"""Commands for the keys of client accounts."""

from hashlib import sha256
from secrets import token_hex, token_urlsafe

from typer import Argument, Context, Option, Typer

from hibiscusspar_ctl.authors import key_author
from hibiscusspar_ctl.exit_codes import reported_errors
from hibiscusspar_ctl.session import print_result
from hibiscusspar_wire.publishing import issue_key, read_current, withdraw_key

__all__ = ["keys"]

KEY_BYTES = 32
KEY_ID_BYTES = 6

keys = Typer(
    no_args_is_help=True, help="Issue, withdraw and list the keys of accounts."
)


@keys.command()
def issue(
    context: Context,
    account: str = Argument(..., help="Declared client account."),
    key_id: str = Option("", "--id", help="Id of the key; random by default."),
):
    """Issue a key and print it once; only its digest is stored."""
    session = context.obj
    key_id = key_id or f"{account}-{token_hex(KEY_ID_BYTES)}"
    key = token_urlsafe(KEY_BYTES)
    digest = sha256(key.encode()).hexdigest()
    with reported_errors():
        platform = session.platform()
        author = key_author(session.author)
        published = issue_key(platform, account, key_id, digest, author, token_hex)
    data = {"key": key, "key_id": key_id, "revision": published.revision}
    lines = [
        f"key: {key}",
        f"id: {key_id}",
        f"revision {published.revision} is published",
    ]
    print_result(session, data, lines)


@keys.command()
def withdraw(
    context: Context, key_id: str = Argument(..., help="Id of the key, see 'key list'.")
):
    """Withdraw a key permanently; requests already running are finished."""
    session = context.obj
    with reported_errors():
        author = key_author(session.author)
        published = withdraw_key(session.platform(), key_id, author, token_hex)
    data = {"key_id": key_id, "revision": published.revision}
    print_result(session, data, [f"revision {published.revision} withdraws {key_id}"])


@keys.command("list")
def list_keys(
    context: Context, account: str = Option("", help="Only keys of this account.")
):
    """List the ids of keys; the system does not store the keys themselves."""
    session = context.obj
    with reported_errors():
        rows = read_current(session.platform()).configuration.keys.values()
    chosen = [row for row in rows if not account or row.account == account]
    chosen.sort(key=lambda row: (row.account, row.key_id))
    lines = [
        f"{row.key_id}  {row.account}  {'withdrawn' if row.withdrawn else 'valid'}"
        for row in chosen
    ]
    print_result(session, {"keys": [row._asdict() for row in chosen]}, lines)
