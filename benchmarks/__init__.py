"""Benchmarks of the project, run as modules."""
