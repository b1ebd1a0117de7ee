"""Scheduling: whose waiting request gets the next free unit of a target."""
