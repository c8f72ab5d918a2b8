"""The job scheduler: placement, queueing, preemption and guarantees."""
