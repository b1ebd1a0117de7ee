"""Settings of the entry process.

``SPECS`` is the single source of the command-line flags, the environment variables
and their validation.
"""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from typing import Any, NamedTuple

from hibiscusspar.errors import ConfigError, ConfigErrorGroup

__all__ = ["ENV_PREFIX", "SPECS", "SettingSpec", "Settings", "check_settings"]

ENV_PREFIX = "HIBISCUSSPAR_"
MIN_SECRET_LENGTH = 16
MAX_THREADS = 4096


class Settings(NamedTuple):
    """Validated settings; times are in seconds, sizes in bytes."""

    vm_id: str
    zone: str
    address: str
    caller_port: int
    peer_port: int
    operator_port: int
    platform: str
    peers: tuple[str, ...]
    peer_secret: str
    caller_threads: int
    tick_s: float
    exchange_s: float
    platform_timeout_s: float
    peer_timeout_s: float
    connect_timeout_s: float
    silence_timeout_s: float
    queue_timeout_s: float
    token_wait_s: float
    lame_duck_s: float
    shutdown_timeout_s: float
    max_body_bytes: int
    max_header_bytes: int
    seed: int
    tls_certificate: str
    tls_private_key: str
    log_file: str


class SettingSpec(NamedTuple):
    """A setting with its parser, default and help; without a default it is required."""

    name: str
    parse: Callable[[str], Any]
    default: str | None
    help: str

    @property
    def flag(self):
        """Command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Environment variable."""
        return ENV_PREFIX + self.name.upper()


def _name(text):
    if not text or not text.replace("-", "").replace(".", "").isalnum():
        raise ValueError("expected letters, digits, '-' and '.'")
    return text


def _ip(text):
    return str(ip_address(text))


def _address(text):
    host, _, port = text.rpartition(":")
    return f"{_ip(host)}:{_port(port)}"


def _addresses(text):
    return tuple(_address(part.strip()) for part in text.split(",") if part.strip())


def _port(text):
    return _integer(text, 0, 65_535)


def _integer(text, low, high):
    value = int(text)
    if not low <= value <= high:
        raise ValueError(f"expected an integer from {low} to {high}")
    return value


def _threads(text):
    return _integer(text, 1, MAX_THREADS)


def _bytes(text):
    return _integer(text, 1024, 1 << 30)


def _seed(text):
    return _integer(text, 0, 2**63 - 1)


def _seconds(text):
    value = float(text)
    if not 0.0 < value <= 86_400.0:
        raise ValueError("expected seconds above 0 and at most 86400")
    return value


def _secret(text):
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError(f"expected at least {MIN_SECRET_LENGTH} characters")
    return text


def _file(text):
    if text and not Path(text).is_file():
        raise ValueError("no such file")
    return text


SPECS = (
    SettingSpec("vm_id", _name, None, "Id of this VM instance, unique in the fleet."),
    SettingSpec("zone", _name, None, "Availability zone of this VM."),
    SettingSpec("address", _ip, "127.0.0.1", "IP address to bind and announce."),
    SettingSpec("caller_port", _port, "8080", "Port for callers; 0: any free port."),
    SettingSpec("peer_port", _port, "8081", "Port for other VMs; 0: any free port."),
    SettingSpec(
        "operator_port", _port, "8082", "Port for operators; 0: any free port."
    ),
    SettingSpec("platform", _address, None, "Object API of the platform, IP:port."),
    SettingSpec("peers", _addresses, "", "Peer addresses to use without a platform."),
    SettingSpec("peer_secret", _secret, None, "Secret shared by all entry VMs."),
    SettingSpec("caller_threads", _threads, "300", "Number of concurrent requests."),
    SettingSpec("tick_s", _seconds, "0.1", "Seconds between ticks of the systems."),
    SettingSpec("exchange_s", _seconds, "0.1", "Minimum seconds between exchanges."),
    SettingSpec("platform_timeout_s", _seconds, "2", "Timeout of a platform call."),
    SettingSpec("peer_timeout_s", _seconds, "1", "Timeout of an exchange."),
    SettingSpec("connect_timeout_s", _seconds, "1", "Timeout to connect to a target."),
    SettingSpec(
        "silence_timeout_s", _seconds, "10", "Longest wait for data of a target."
    ),
    SettingSpec("queue_timeout_s", _seconds, "20", "Longest wait for a target."),
    SettingSpec("token_wait_s", _seconds, "1", "Longest wait for tokens of a limit."),
    SettingSpec(
        "lame_duck_s", _seconds, "0.5", "Time to accept requests after a stop request."
    ),
    SettingSpec(
        "shutdown_timeout_s",
        _seconds,
        "60",
        "Longest wait for open requests at shutdown.",
    ),
    SettingSpec("max_body_bytes", _bytes, "4194304", "Maximum size of a request body."),
    SettingSpec(
        "max_header_bytes", _bytes, "32768", "Maximum size of the request header."
    ),
    SettingSpec("seed", _seed, "0", "Seed of random choices; 0: a random seed."),
    SettingSpec("tls_certificate", _file, "", "PEM certificate of the caller port."),
    SettingSpec("tls_private_key", _file, "", "PEM key of the caller port."),
    SettingSpec("log_file", str, "", "File for JSON log lines; empty: stdout."),
)


def check_settings(raw):
    """Validate raw settings and report all errors together.

    Parameters
    ----------
    raw : dict of str to str or None
        Values by name of the setting; None or missing means not given.

    Returns
    -------
    Settings

    Raises
    ------
    ConfigErrorGroup
        Holds one :class:`~hibiscusspar.errors.ConfigError` for each invalid setting.
    """
    values = {}
    errors = []
    for spec in SPECS:
        try:
            values[spec.name] = _parse(spec, raw.get(spec.name))
        except ValueError as error:
            errors.append(ConfigError("settings", spec.flag, str(error)))
    if bool(values.get("tls_certificate")) != bool(values.get("tls_private_key")):
        reason = "--tls-certificate and --tls-private-key must be given together"
        errors.append(ConfigError("settings", "--tls-certificate", reason))
    if errors:
        raise ConfigErrorGroup("invalid settings", errors)
    return Settings(**values)


def _parse(spec, text):
    if text is None:
        text = spec.default
    if text is None:
        raise ValueError(f"required; set the flag or {spec.variable}")
    return spec.parse(text)
