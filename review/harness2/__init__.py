"""Shared parts of the cases 6 to 10: a small deployment and its stand-ins."""
