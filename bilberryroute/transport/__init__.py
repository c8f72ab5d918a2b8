"""Carriers between our own processes."""
