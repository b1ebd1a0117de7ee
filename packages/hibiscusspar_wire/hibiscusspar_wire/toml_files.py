"""Functions for reading a configuration from TOML files."""

import tomllib
from pathlib import Path

from hibiscusspar.config.declarations import from_declarations
from hibiscusspar.errors import ConfigError, ConfigErrorGroup

__all__ = ["read_directories"]


def read_directories(paths):
    """Return the validated configuration declared by directories of TOML files.

    Parameters
    ----------
    paths : sequence of path
        Directories, searched recursively for ``*.toml``, or single files.

    Returns
    -------
    Configuration
        Without keys, which are issued and not declared.

    Raises
    ------
    ConfigErrorGroup
        With every error in every file.
    """
    errors = []
    files = []
    for file in _toml_files(paths, errors):
        try:
            files.append((str(file), tomllib.loads(file.read_text("utf-8"))))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as error:
            errors.append(ConfigError(str(file), "(file)", str(error)))
    if not errors:
        return from_declarations(files)
    try:
        from_declarations(files)
    except ConfigErrorGroup as group:
        errors += group.exceptions
    raise ConfigErrorGroup(f"{len(errors)} errors in the declarations", errors)


def _toml_files(paths, errors):
    found = {}
    for path in map(Path, paths):
        if path.is_dir():
            files = sorted(path.rglob("*.toml"))
        else:
            files = [path] if path.is_file() else []
        if not files:
            reason = "holds no .toml file or doesn't exist"
            errors.append(ConfigError(str(path), "(path)", reason))
        found.update((file.resolve(), file) for file in files)
    return list(found.values())
