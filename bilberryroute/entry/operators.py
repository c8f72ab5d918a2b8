"""HTTP API for operators: tickets, configuration, jobs and status.

A request is refused by a typed error, raised either before anything is proposed
or from the state machine's result. The middleware of `api` turns it into a
response and counts it.
"""

import http
import random
from typing import Protocol

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import operator_models as models
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import queries

JOB_ID_BITS = 64

_log = mode.get_logger(__name__)


class OperatorControl(Protocol):
    """Methods of the control client that this service needs."""

    async def propose(self, command: commands.Command) -> commands.Result:
        """Commits a command and returns its result."""

    async def query(self, query: queries.Query) -> queries.Answer:
        """Returns the leader's answer."""


class OperatorService(mode.Service):
    """Serves operators, and callers with regard to their account's jobs."""

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.EntryBoard,
        control: OperatorControl,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._limits = cfg.limits
        self._board = board
        self._control = control
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    def register(self, app: web.Application) -> None:
        """Adds the routes to an application of `api.new_application`."""
        app.router.add_post("/v1/tickets", self._apply_ticket)
        app.router.add_get("/v1/tickets/{number}", self._show_ticket)
        app.router.add_get("/v1/configuration", self._show_configuration)
        app.router.add_post("/v1/jobs", self._submit_job)
        app.router.add_get("/v1/jobs", self._list_jobs)
        app.router.add_post("/v1/jobs/cancel", self._cancel_jobs)
        app.router.add_get("/v1/jobs/{id}", self._show_job)
        app.router.add_delete("/v1/jobs/{id}", self._cancel_job)
        app.router.add_get("/v1/status", self._show_status)

    async def _apply_ticket(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        model = await api.read_json(
            req, models.TicketModel, self._limits.ticket_bytes
        )
        ticket = models.to_ticket(model)
        command = commands.ApplyTicket(
            ticket=ticket,
            digest=models.digest(ticket),
            at_ms=self._clock.wall(),
        )
        with logs.fields(ticket=ticket.number):
            result = await self._control.propose(command)
            _log.info("ticket: %s", type(result).__name__)
        match result:
            case commands.TicketAccepted():
                return api.json_response(result)
            case commands.TicketRefused():
                raise _ticket_refusal(result)
        raise _unexpected_result(result)

    async def _show_ticket(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        number = _ticket_number(req.match_info["number"])
        query = queries.GetTicket(number=number)
        return api.json_response(await self._control.query(query))

    async def _show_configuration(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        return api.json_response(self._board.configuration.get())

    async def _submit_job(self, req: web.Request) -> web.Response:
        rights_lib.require_token(req)
        model = await api.read_json(
            req, models.JobModel, self._limits.body_bytes
        )
        account = rights_lib.require_operator_or_account(req, model.account)
        job = models.to_job(model, model.id or self._new_job_id(), account)
        command = commands.SubmitJob(job=job, at_ms=self._clock.wall())
        with logs.fields(job_id=job.id, account=account):
            result = await self._control.propose(command)
            _log.info("job: %s", type(result).__name__)
        match result:
            case commands.JobAccepted():
                return await self._accepted_response(job)
            case commands.JobRefused():
                raise _job_refusal(result)
        raise _unexpected_result(result)

    async def _accepted_response(self, job: jobs.Job) -> web.Response:
        try:
            view = await self._control.query(queries.GetJob(job_id=job.id))
        except errors.Unavailable:
            # The job is durable; only its current state is not known here.
            view = queries.JobView(record=jobs.JobRecord(job=job))
        return api.json_response(view, status=http.HTTPStatus.ACCEPTED)

    def _new_job_id(self) -> str:
        return f"job-{self._rng.getrandbits(JOB_ID_BITS):016x}"

    async def _list_jobs(self, req: web.Request) -> web.Response:
        account = req.query.get("account", "")
        if account or not req[rights_lib.OPERATOR]:
            account = rights_lib.require_operator_or_account(req, account)
        query = queries.ListJobs(account=account)
        return api.json_response(await self._control.query(query))

    async def _show_job(self, req: web.Request) -> web.Response:
        return api.json_response(await self._authorized_job(req))

    async def _authorized_job(self, req: web.Request) -> queries.JobView:
        """Returns the job in the path if the caller is authorized to see it."""
        # Check the token first, or anyone could find out which ids exist.
        rights_lib.require_token(req)
        view = await self._control.query(
            queries.GetJob(job_id=req.match_info["id"])
        )
        if not req[rights_lib.OPERATOR]:
            rights_lib.require_account(req, view.record.job.account)
        return view

    async def _cancel_job(self, req: web.Request) -> web.Response:
        view = await self._authorized_job(req)
        return await self._cancel((view.record.job.id,))

    async def _cancel_jobs(self, req: web.Request) -> web.Response:
        rights_lib.require_token(req)
        model = await api.read_json(
            req, models.CancelModel, self._limits.body_bytes
        )
        account = ""
        if not req[rights_lib.OPERATOR]:
            account = rights_lib.require_account(req)
        job_list = await self._control.query(queries.ListJobs(account=account))
        known_ids = {record.job.id for record in job_list.records}
        unknown_ids = [
            job_id for job_id in model.job_ids if job_id not in known_ids
        ]
        if unknown_ids:
            raise errors.NotFound(
                f"{len(unknown_ids)} of {len(model.job_ids)} jobs do not exist,"
                f" such as {unknown_ids[0]!r}; nothing was cancelled",
                remedy="Check the ids; `bilberryroute job list` lists them.",
            )
        return await self._cancel(model.job_ids)

    async def _cancel(self, job_ids: tuple[str, ...]) -> web.Response:
        command = commands.CancelJobs(job_ids=job_ids, at_ms=self._clock.wall())
        result = await self._control.propose(command)
        match result:
            case commands.Changed() | commands.Unchanged():
                changed = isinstance(result, commands.Changed)
                body = {"job_ids": job_ids, "changed": changed}
                return api.json_response(body)
        raise _unexpected_result(result)

    async def _show_status(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        return api.json_response(await self._control.query(queries.GetStatus()))


def _job_refusal(result: commands.JobRefused) -> errors.BilberryrouteError:
    kind = errors.by_kind(result.kind)
    if kind is errors.NotFound:
        return errors.NotFound(
            result.message,
            remedy="Check the name, or set the client account by a ticket.",
        )
    return kind(result.message)


def _ticket_refusal(
    result: commands.TicketRefused,
) -> errors.BilberryrouteError:
    message = f"{result.message}; the next free number is {result.next_number}"
    if result.winner_digest:
        message += f"; the winner's digest is {result.winner_digest}"
    refusal = errors.by_kind(result.kind)(message)
    refusal.extensions = {
        "winner_digest": result.winner_digest,
        "next_number": result.next_number,
    }
    return refusal


def _ticket_number(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise errors.MalformedInput(f"{text!r} is no ticket number")
    return int(text)


def _unexpected_result(result: commands.Result) -> errors.BilberryrouteError:
    return errors.BilberryrouteError(
        f"the leader answered with {type(result).__name__}",
        remedy="Use the same version in all processes.",
    )
