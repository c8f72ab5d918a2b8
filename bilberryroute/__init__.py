"""Scheduler for multi-accelerator jobs under client account guarantees."""

__version__ = "0.1.0"
