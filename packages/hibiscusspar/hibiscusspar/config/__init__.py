"""Configuration: declared entities, their validation, chunks and differences."""
