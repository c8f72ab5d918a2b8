"""Client for batch jobs, the catalog and evacuations; calls the leader."""

import contextlib
import logging
from collections.abc import Iterator
from typing import Protocol

import aioprometheus

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import queries

logger = logging.getLogger(__name__)


class BatchControl(Protocol):
    """Methods of the control client that batch jobs need."""

    async def propose(
        self, command: commands.Command, within_ms: clock_lib.Millis
    ) -> commands.Result:
        """Commits a command and returns its result."""

    async def query(
        self, query: queries.Query, within_ms: clock_lib.Millis
    ) -> queries.Answer:
        """Returns the leader's answer."""


class BatchClient:
    """Sends callers' and operators' requests on batch jobs to the leader.

    The leader resolves the queue, account and job of an address, so that no
    process acts on an outdated catalog.
    """

    def __init__(
        self,
        control: BatchControl,
        timing: settings.Timing,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._keep_ms = timing.batch_kept_ms

    async def submit(
        self,
        address: catalog_model.Address,
        content: batch.Content,
        within_ms: clock_lib.Millis,
    ) -> batching.BatchAccepted:
        """Queues a job; the job is durable on return.

        Raises:
          errors.Refused: If the caller is not allowed to, or the id is taken.
          errors.Unavailable: If no leader accepted it; it never runs.
          errors.CommitUnknown: If it may or may not have been queued.
        """
        command = batching.SubmitBatch(
            address=address, content=content, keep_ms=self._keep_ms, at_ms=0
        )
        with self._observed(
            command, address.path, "accepted", self._metrics.accept_ms
        ):
            return await self._propose(command, within_ms)

    async def cancel(
        self, address: catalog_model.Address, within_ms: clock_lib.Millis
    ) -> batching.BatchAccepted:
        """Cancels a job; raises as `submit` does."""
        command = batching.CancelBatch(address=address, at_ms=0)
        with self._observed(command, address.path):
            return await self._propose(command, within_ms)

    async def look_up(
        self, address: catalog_model.Address, within_ms: clock_lib.Millis
    ) -> queries.BatchView | queries.PendingView:
        """Returns the state of a job, or the number of jobs pending in a queue.

        Raises:
          errors.Refused: If the caller is not allowed to, or the job does not
            exist.
          errors.Unavailable: If no leader answers.
        """
        query = queries.LookUpBatch(address=address)
        with self._observed(
            query, address.path, "found", self._metrics.look_up_ms
        ):
            return await self._control.query(query, within_ms)

    async def apply_catalog(
        self, catalog: catalog_model.Catalog, within_ms: clock_lib.Millis
    ) -> batching.CatalogHeld:
        """Applies a catalog, unless a higher version is in force."""
        command = batching.ApplyCatalog(catalog=catalog, at_ms=0)
        with self._observed(command):
            result = await self._control.propose(command, within_ms)
        logger.info(
            "catalog",
            extra={
                "version": catalog.version,
                "held": result.version,
                "changed": result.changed,
            },
        )
        return result

    async def catalog(self, within_ms: clock_lib.Millis) -> queries.CatalogView:
        """Returns the catalog in force.

        Raises:
          errors.Unavailable: If there is none, or no leader answers.
        """
        query = queries.GetCatalog()
        with self._observed(query):
            return await self._control.query(query, within_ms)

    async def show(
        self, job_id: str, within_ms: clock_lib.Millis
    ) -> queries.BatchDetail:
        """Returns a batch job with its tasks.

        Raises:
          errors.Gone: If the job does not exist or is no longer stored.
        """
        query = queries.GetBatch(job_id=job_id)
        with self._observed(query, job_id):
            return await self._control.query(query, within_ms)

    async def list_jobs(self, within_ms: clock_lib.Millis) -> queries.BatchList:
        """Returns all batch jobs that the leader still stores."""
        query = queries.ListBatches()
        with self._observed(query):
            return await self._control.query(query, within_ms)

    async def set_evacuated(
        self,
        failure_domain: str,
        evacuated: bool,
        within_ms: clock_lib.Millis,
    ) -> None:
        """Evacuates a failure domain, or ends its evacuation.

        The workers of an evacuated failure domain are not used.

        Raises:
          errors.Unavailable: If no leader carried it out in time.
          errors.CommitUnknown: If it may or may not have been carried out. It
            is not once a later order has been acknowledged.
        """
        deadline = self._clock.now() + within_ms
        query = queries.GetEvacuation(failure_domain=failure_domain)
        with self._observed(query, failure_domain):
            held = await self._control.query(query, within_ms)
        command = batching.SetEvacuated(
            failure_domain=failure_domain,
            evacuated=evacuated,
            after_order=held.last_order,
            at_ms=0,
        )
        with self._observed(command, failure_domain):
            result = await self._control.propose(
                command, clock_lib.Millis(deadline - self._clock.now())
            )
            if isinstance(result, batching.BatchRefused):
                raise errors.by_kind(result.kind)(result.message)
        logger.info(
            "evacuation",
            extra={
                "evacuated": evacuated,
                "domain": failure_domain,
                "after_order": held.last_order,
            },
        )

    async def _propose(
        self, command: commands.Command, within_ms: clock_lib.Millis
    ) -> batching.BatchAccepted:
        result = await self._control.propose(command, within_ms)
        match result:
            case batching.BatchAccepted(job_id=job_id, first=first):
                logger.info(
                    type(command).__name__,
                    extra={"job_id": job_id, "first": first},
                )
                return result
            case batching.BatchRefused(kind=kind, message=message):
                raise errors.by_kind(kind)(message)
        raise errors.BilberryrouteError(f"unexpected result {result!r}")

    @contextlib.contextmanager
    def _observed(
        self,
        request: commands.Command | queries.Query,
        path: str = "",
        success: str = "",
        took_ms: aioprometheus.Histogram | None = None,
    ) -> Iterator[None]:
        """Logs a call to the leader if it fails, and measures its time.

        That an unknown place was looked up is no failure.

        Args:
          request: The command or query.
          path: Path or name of what it is about.
          success: Outcome to measure if it succeeds.
          took_ms: Where its time is measured by outcome, if anywhere.
        """
        name = type(request).__name__
        began_ms = self._clock.now()
        outcome = success
        try:
            yield
        except BaseException as exc:
            outcome = getattr(exc, "kind", type(exc).__name__)
            fields = {
                "path": path,
                "kind": outcome,
                "took_ms": self._clock.now() - began_ms,
                **getattr(exc, "log_fields", {}),
            }
            if isinstance(exc, errors.NotFound) and isinstance(
                request, queries.LookUpBatch
            ):
                raise
            if isinstance(exc, errors.Refused):
                logger.info("%s refused: %s", name, exc.message, extra=fields)
            else:
                logger.warning("%s failed: %s", name, exc, extra=fields)
            raise
        finally:
            if took_ms is not None:
                took_ms.add({"outcome": outcome}, self._clock.now() - began_ms)
