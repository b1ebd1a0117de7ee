"""Errors that name the failed step and the peer involved."""

__all__ = ["ConfigError", "ConfigErrorGroup", "StepError"]


class StepError(Exception):
    """An error that names the failed step and the peer involved.

    Parameters
    ----------
    step : str
        Name of the step, for example ``"platform.update"``.
    peer : str
        The VM, target, client account or file concerned; empty if none.
    reason : str
        Cause of the error, in one sentence.
    """

    def __init__(self, step, peer, reason):
        super().__init__(step, peer, reason)
        self.step = step
        self.peer = peer
        self.reason = reason

    def __str__(self):
        at = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at}: {self.reason}"


class ConfigError(StepError):
    """One error in a declaration or a setting.

    Parameters
    ----------
    file : str
        File with the error; for settings, the name of the source.
    key_path : str
        Dotted path of the key, for example ``"targets.3.zone"``.
    reason : str
        What is wrong and what is expected.
    """

    def __init__(self, file, key_path, reason):
        super().__init__("config.check", f"{file}:{key_path}", reason)
        self.file = file
        self.key_path = key_path

    def __str__(self):
        return f"{self.file}: {self.key_path}: {self.reason}"


class ConfigErrorGroup(ExceptionGroup):
    """All errors found by one check, so that they can be fixed together."""

    def derive(self, excs):
        """Return a group of the same type with a subset of the errors."""
        return ConfigErrorGroup(self.message, excs)
