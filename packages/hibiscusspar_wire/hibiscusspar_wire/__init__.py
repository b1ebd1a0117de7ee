"""Typed messages, codecs, clients and HTTP applications."""
