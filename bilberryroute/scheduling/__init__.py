"""Pure decisions on placement, queueing and guarantees."""
