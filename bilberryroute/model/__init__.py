"""Typed records shared by every role."""
