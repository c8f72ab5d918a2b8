"""Request routing without I/O: endpoints, retries, queues, outcomes."""
