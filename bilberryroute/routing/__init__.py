"""Pure decisions on endpoints, retries, queues and outcomes."""
