"""Addresses of nodes."""

__all__ = ["parse_address"]


def parse_address(text):
    """Return the pair of IP number and port of ``ip:port``."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
