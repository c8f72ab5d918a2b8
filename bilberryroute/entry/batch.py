"""Batch jobs, their queues and evacuations, by way of the leading replica."""

import logging
from typing import Protocol

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


class Control(Protocol):
    """What this desk needs of the control client."""

    async def propose(
        self, command: commands.Command, within_ms: clock_lib.Millis
    ) -> commands.Result:
        """Commits a command and returns its result."""

    async def query(
        self, query: queries.Query, within_ms: clock_lib.Millis
    ) -> queries.Answer:
        """Returns the leader's answer."""


class BatchClient:
    """Turns callers' and operators' wishes into commands and queries.

    Which queue, account and job is meant is decided by the leader, so that no
    process acts on a catalog that is out of date.
    """

    def __init__(
        self,
        control: Control,
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
        """Queues a job; it is durable on return.

        Raises:
          errors.Refused: If the caller may not, or the id is taken.
          errors.Unavailable: If no leader took it; it never runs.
          errors.CommitUnknown: If it may or may not have been queued.
        """
        command = batching.SubmitBatch(
            address=address, content=content, keep_ms=self._keep_ms, at_ms=0
        )
        began = self._clock.now()
        outcome = "accepted"
        try:
            return await self._change(command, address, within_ms)
        except errors.BilberryrouteError as exc:
            outcome = exc.kind
            raise
        finally:
            took_ms = self._clock.now() - began
            self._metrics.accept_ms.add({"outcome": outcome}, took_ms)

    async def cancel(
        self, address: catalog_model.Address, within_ms: clock_lib.Millis
    ) -> batching.BatchAccepted:
        """Cancels a job; raises as `submit` does."""
        command = batching.CancelBatch(address=address, at_ms=0)
        return await self._change(command, address, within_ms)

    async def look_up(
        self, address: catalog_model.Address, within_ms: clock_lib.Millis
    ) -> queries.BatchView | queries.PendingView:
        """Returns where a job stands, or how many of a queue wait.

        Raises:
          errors.Refused: If the caller may not, or there is no such job.
          errors.Unavailable: If no leader answers.
        """
        return await self._control.query(
            queries.LookUpBatch(address=address), within_ms
        )

    async def apply_catalog(
        self, catalog: catalog_model.Catalog, within_ms: clock_lib.Millis
    ) -> batching.CatalogHeld:
        """Puts a catalog in force, unless a higher version is."""
        command = batching.ApplyCatalog(catalog=catalog, at_ms=0)
        held = await self._control.propose(command, within_ms)
        logger.info(
            "catalog",
            extra={
                "version": catalog.version,
                "held": held.version,
                "changed": held.changed,
            },
        )
        return held

    async def catalog(self, within_ms: clock_lib.Millis) -> queries.CatalogView:
        """Returns the catalog in force.

        Raises:
          errors.Unavailable: If there is none, or no leader answers.
        """
        return await self._control.query(queries.GetCatalog(), within_ms)

    async def show(
        self, job_id: str, within_ms: clock_lib.Millis
    ) -> queries.BatchDetail:
        """Returns a batch job with its tasks; raises `errors.Gone`."""
        return await self._control.query(
            queries.GetBatch(job_id=job_id), within_ms
        )

    async def list_jobs(self, within_ms: clock_lib.Millis) -> queries.BatchList:
        """Returns all batch jobs that are remembered."""
        return await self._control.query(queries.ListBatches(), within_ms)

    async def set_evacuated(
        self,
        failure_domain: str,
        evacuated: bool,
        within_ms: clock_lib.Millis,
    ) -> None:
        """Takes the workers of a failure domain out of use, or back."""
        command = batching.SetEvacuated(
            failure_domain=failure_domain, evacuated=evacuated, at_ms=0
        )
        await self._control.propose(command, within_ms)
        logger.info(
            "evacuation",
            extra={"evacuated": evacuated, "domain": failure_domain},
        )

    async def _change(
        self,
        command: commands.Command,
        address: catalog_model.Address,
        within_ms: clock_lib.Millis,
    ) -> batching.BatchAccepted:
        name = type(command).__name__
        try:
            result = await self._control.propose(command, within_ms)
        except errors.BilberryrouteError as exc:
            logger.warning(
                "%s failed: %s", name, exc, extra={"path": address.path}
            )
            raise
        match result:
            case batching.BatchAccepted(job_id=job_id, first=first):
                logger.info(name, extra={"job_id": job_id, "first": first})
                return result
            case batching.BatchRefused(kind=kind, message=message):
                logger.info(
                    "%s refused: %s",
                    name,
                    message,
                    extra={"path": address.path, "kind": kind},
                )
                raise errors.by_kind(kind)(message)
        raise errors.BilberryrouteError(f"unexpected result {result!r}")
