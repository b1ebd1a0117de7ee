"""The life of one request: phases, retries, ejection, quarantine and claims."""
