"""Placement and preemption of batch jobs, without I/O."""
