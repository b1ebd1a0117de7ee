"""Client accounts: keys, token limits over all VMs and fair queues."""
