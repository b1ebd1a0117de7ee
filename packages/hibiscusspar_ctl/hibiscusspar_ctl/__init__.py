"""Command line tool ``hibiscussparctl`` for operators."""
