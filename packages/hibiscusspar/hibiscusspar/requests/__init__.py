"""Request lifecycle: phases, retries, ejection, quarantine and idempotency claims."""
