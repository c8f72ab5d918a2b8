"""Decides which jobs of a played load are refused, as the leader does."""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import admission
from bilberryroute.scheduling.batch import demands
from bilberryroute.scheduling.batch import paths
from bilberryroute.scheduling.batch import returns

# How often a caller sends a refused job again, after its Retry-After.
MAX_RETURNS = 4


class Gate:
    """The admission of one pool's jobs."""

    def __init__(self, pool: str, capacity: batch.Resources):
        self._pool = pool
        self._capacity = capacity
        self._returns = returns.Returns()
        self._paths = paths.PathCache()

    def retry_after_ms(
        self,
        state: batch.BatchState,
        typical_ms: Mapping[str, int],
        address: catalog_model.Address,
        content: batch.Content,
        now_ms: int,
    ) -> int | None:
        """Returns when a refused job may return, or None if it is accepted."""
        queue = state.catalog.match(address.host, address.path)
        account = state.catalog.owner(address.key).name
        typical = typical_ms.get(queue.name)
        if typical is None:
            return None
        backlog = demands.backlogs(
            state,
            {self._pool: self._capacity},
            typical_ms,
            now_ms,
            self._paths,
        )[self._pool]
        first_ms = self._returns.first_ms(account, address.path, now_ms)
        demand = demands.new_demand(
            queue,
            account,
            content,
            self._capacity,
            typical,
            now_ms if first_ms is None else first_ms,
        )
        verdict = backlog.verdict(demand, now_ms)
        if isinstance(verdict, admission.Accept) or admission.within_guarantee(
            state, queue, account, content, self._paths
        ):
            self._returns.drop(account, address.path)
            return None
        return self._returns.refuse(
            self._pool, address.path, demand, verdict, now_ms
        )
