"""Adapter to the users' platform: translates its wire forms, decides nothing.

Nothing outside this package knows a name of the platform.
"""
