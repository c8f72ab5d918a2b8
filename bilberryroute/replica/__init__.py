"""The replica role: replicated log, state and the leader's controllers."""
