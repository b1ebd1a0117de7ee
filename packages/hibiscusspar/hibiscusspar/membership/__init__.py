"""Membership by gossip, and exclusive roles kept in the platform."""
