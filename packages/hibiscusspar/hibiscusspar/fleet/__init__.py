"""Decisions of a fleet of entry VMs that share targets, limits and one coordinator."""
