"""Write the adapter files of the examples: 3,000 adapters for each user."""

from pathlib import Path
from textwrap import fill
from typing import NamedTuple

__all__ = ["USERS", "adapters_toml", "main"]

ADAPTERS_PER_ACCOUNT = 600
LINE_WIDTH = 88


class User(NamedTuple):
    """Where a user's adapters are written and what they are called."""

    file: str
    model: str
    prefix: str
    accounts: tuple[str, ...]


USERS = (
    User(
        "pryce-daughters/drafting-models/adapters.toml",
        "draft-7b",
        "yard",
        (
            "celtic-sawmills",
            "severn-merchants",
            "dyfi-timber",
            "menai-hauliers",
            "gower-joinery",
        ),
    ),
    User(
        "valtrebbia/redattore/adapters.toml",
        "tributi-8b",
        "sito",
        (
            "comune-piacenza",
            "consorzio-ecotrebbia",
            "trasporti-valnure",
            "discarica-monticelli",
            "autotrasporti-ferri",
        ),
    ),
)


def adapters_toml(user):
    """Return the text of a user's adapter file, one group for each account."""
    parts = ["# Written by examples/make_adapters.py.\n"]
    for index, account in enumerate(user.accounts):
        first = index * ADAPTERS_PER_ACCOUNT + 1
        numbers = range(first, first + ADAPTERS_PER_ACCOUNT)
        names = ", ".join(f'"{user.prefix}-{number:04d}"' for number in numbers)
        wrapped = fill(names, LINE_WIDTH, initial_indent="  ", subsequent_indent="  ")
        parts.append(_group(user, account, wrapped))
    return "\n".join(parts)


def _group(user, account, names):
    return f"""[[adapter_groups]]
model = "{user.model}"
versions = ["1", "2"]
current = "2"
accounts = ["{account}"]
names = [
{names},
]
"""


def main():
    """Write all files."""
    folder = Path(__file__).resolve().parent
    for user in USERS:
        (folder / user.file).write_text(adapters_toml(user))


if __name__ == "__main__":
    main()
