"""Process of an entry VM: settings, logs, metrics and the composition root."""
