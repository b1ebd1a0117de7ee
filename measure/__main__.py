"""Command line of the measurements; writes tables to ``docs/measurements``."""

import argparse
import pkgutil
import time
from importlib import import_module

import measure
from measure.report import OUTPUT, to_markdown

_PREFIX = "part_"


def part_names():
    """Return the names of all parts, in alphabetical order."""
    names = [info.name for info in pkgutil.iter_modules(measure.__path__)]
    return sorted(n.removeprefix(_PREFIX) for n in names if n.startswith(_PREFIX))


def main():
    """Run the parts named on the command line, or all, one after another."""
    parser = argparse.ArgumentParser(prog="measure")
    parser.add_argument(
        "--quick", action="store_true", help="run a short form, write no files"
    )
    parser.add_argument("parts", nargs="*", help="parts to run (default: all)")
    args = parser.parse_args()
    for name in args.parts or part_names():
        _run_part(name, args.quick)


def _run_part(name, quick):
    started = time.perf_counter()
    tables = import_module(f"measure.{_PREFIX}{name}").run(quick)
    text = "\n".join(to_markdown(table) for table in tables)
    print(f"## {name} ({time.perf_counter() - started:.1f} s)\n\n{text}")
    if quick:
        return
    OUTPUT.mkdir(parents=True, exist_ok=True)
    command = f"Command: `make measure PARTS={name}`"
    (OUTPUT / f"{name}.md").write_text(f"# {name}\n\n{command}\n\n{text}")


if __name__ == "__main__":
    main()
