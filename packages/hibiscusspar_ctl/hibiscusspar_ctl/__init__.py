"""The operators' command ``hibiscussparctl``."""
