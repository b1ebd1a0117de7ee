"""Decisions of entry VMs that share targets, account limits and one coordinator."""
