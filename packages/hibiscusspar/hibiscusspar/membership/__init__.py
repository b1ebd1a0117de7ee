"""Gossip-based membership, and exclusive roles stored in the platform."""
