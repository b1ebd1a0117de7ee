"""Errors that carry the step and the peer at which they arose."""

__all__ = ["ConfigError", "ConfigErrorGroup", "StepError"]


class StepError(Exception):
    """An error that names the step that failed and the other party of it.

    Parameters
    ----------
    step : str
        Name of the step, for example ``"platform.update"``.
    peer : str
        The VM, target, client account or file concerned; empty if none.
    reason : str
        What went wrong, in one sentence.
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
    """One fault of a declaration or a setting.

    Parameters
    ----------
    file : str
        File that holds the fault; for settings, the name of the source.
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
    """All faults found by one check, so that they can be mended together."""

    def derive(self, excs):
        """Return a group of the same type over a subset of the faults."""
        return ConfigErrorGroup(self.message, excs)
