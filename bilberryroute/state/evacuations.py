"""Transitions of evacuations, and what tells an old order from a new one.

Orders of a failure domain are numbered as they are acknowledged. An order names
the last one that was acknowledged when it was given, so one that was held up on
its way and arrives after a later order is refused.
"""

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import commands


def last_order(batch_state: batch.BatchState, failure_domain: str) -> int:
    """Returns the number of the last acknowledged order, from 1; 0 for none."""
    return batch_state.evacuation_orders.get(failure_domain, 0)


def set_evacuated(
    batch_state: batch.BatchState, command: batching.SetEvacuated
) -> commands.Result:
    """Starts or ends an evacuation, unless a later order was acknowledged."""
    domain = command.failure_domain
    last = last_order(batch_state, domain)
    evacuated = domain in batch_state.evacuated
    changes = evacuated != command.evacuated
    if changes and command.after_order not in (None, last):
        return batching.BatchRefused(
            kind=errors.Overtaken.kind,
            message=f"order {last} on {domain!r} was acknowledged meanwhile",
        )
    # Also for an order that changes nothing: the opposite one may be on its way.
    batch_state.evacuation_orders[domain] = last + 1
    if not changes:
        return commands.Unchanged(reason="the failure domain is in that state")
    if command.evacuated:
        batch_state.evacuated.append(domain)
    else:
        batch_state.evacuated.remove(domain)
    return commands.Changed(revision=0)
