"""Configuration: the declared entities, their checks, chunks and differences."""
