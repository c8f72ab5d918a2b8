"""Replicated log: election, commitment, storage and membership."""
