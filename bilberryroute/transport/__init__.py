"""Transports between the processes of the system."""
