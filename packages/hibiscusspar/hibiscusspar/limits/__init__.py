"""Client accounts: keys, fleet-wide token limits and fair queues."""
