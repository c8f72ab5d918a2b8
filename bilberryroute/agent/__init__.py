"""The agent role: admission, leases and starts of requests, tasks and runs."""
