"""State machine that the replicated log drives."""
