"""Pure decisions on batch jobs: what starts where, and what gives way."""
