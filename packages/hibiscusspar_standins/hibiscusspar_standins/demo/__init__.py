"""Demo that runs both example deployments as processes on loopback."""
