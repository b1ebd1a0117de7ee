"""The entry VM process: settings, logs, metrics and the composition root."""
