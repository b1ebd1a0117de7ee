"""Demo: both example deployments as processes on loopback."""
