"""Role beside endpoints and workers: admission, leases and starts."""
