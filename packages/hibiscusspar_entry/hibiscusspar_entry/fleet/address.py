"""Functions for the addresses of nodes."""

__all__ = ["parse_address"]


def parse_address(text):
    """Return IP address and port of a text ``ip:port``."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
