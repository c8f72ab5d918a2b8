"""HTTP service for requests: `POST /v1/services/{service}/requests`."""

import asyncio
import contextlib
import logging
import random

from aiohttp import web
from mode import Service

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.entry import answers
from bilberryroute.entry import attempts
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import calls
from bilberryroute.entry import claims as claims_lib
from bilberryroute.entry import dispatching
from bilberryroute.model import config
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol

DEADLINE_DEFAULT_MS = 30_000
DEADLINE_MAX_MS = 300_000
IDEMPOTENT_RETENTION_MS = 60_000
BODY_BYTES_MAX = 64 * 1_024 * 1_024

_BODY_BYTES = web.RequestKey("body_bytes", int)

_log = logging.getLogger(__name__)


class RequestService(Service):
    """Accepts callers' requests and returns each answer with its outcome.

    Attributes:
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.EntryBoard,
        proposer: claims_lib.ClaimProposer,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics | None = None,
    ):
        super().__init__()
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._rng = rng
        self.metrics = metrics or metrics_lib.Metrics()
        self._dispatcher = dispatching.RequestDispatcher(
            cfg, board, clock, rng, self.metrics
        )
        token = f"{cfg.host}.{rng.getrandbits(64):x}"
        self._idempotent_runner = attempts.IdempotentRunner(
            self._dispatcher, token, rng
        )
        self._claim_runner = claims_lib.ClaimRunner(
            self._dispatcher, proposer, rng
        )
        self._answer_sender = answers.AnswerSender(self._dispatcher)
        self._accepting = True
        self._in_flight = 0
        self._body_bytes = 0
        self.metrics.refresh_with(self._update_gauges)
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self._in_flight

    def queue_lengths(self) -> dict[str, int]:
        """Returns the number of requests queued for an endpoint, by service."""
        return self._dispatcher.queue_lengths()

    def register(self, app: web.Application) -> None:
        """Adds the route."""
        app.router.add_post("/v1/services/{service}/requests", self._handle)

    async def drain(self) -> None:
        """Drains the entry before shutdown.

        Reports not ready, accepts requests until the load balancer has noticed,
        then waits for the requests in progress.
        """
        self._board.draining.set(True)
        lag_ms = self._cfg.timing.balancer_lag_ms
        await asyncio.sleep(clock_lib.seconds(lag_ms))
        self._accepting = False
        await self._idle.wait()

    async def on_stop(self) -> None:
        """Closes the connections to agents."""
        await self._dispatcher.agents.close()

    @Service.task
    async def _watch_endpoints(self) -> None:
        cell = self._board.endpoints
        while not self.should_stop:
            version = cell.version
            self._dispatcher.refresh()
            await cell.changed(version)

    @Service.task
    async def _watch_configuration(self) -> None:
        cell = self._board.configuration
        while not self.should_stop:
            await cell.changed(cell.version)
            self._dispatcher.refresh()

    @Service.task
    async def _watch_ejections(self) -> None:
        cell = self._dispatcher.ejections_changed
        while not self.should_stop:
            version = cell.version
            wait_ms = self._dispatcher.next_change_ms()
            timeout = None if wait_ms is None else clock_lib.seconds(wait_ms)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(cell.changed(version), timeout)
            self._dispatcher.refresh()

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        self._in_flight += 1
        self._idle.clear()
        try:
            call = await self._read(req)
            with logs.fields(
                request_id=call.id, account=call.account, service=call.service
            ):
                return await self._answer(req, call)
        except errors.BilberryrouteError as exc:
            api.count_error(self.metrics, exc)
            resp = api.problem_response(exc)
            resp.headers[protocol.OUTCOME_HEADER] = str(exc.outcome)
            return resp
        finally:
            self._body_bytes -= req.get(_BODY_BYTES, 0)
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    async def _read(self, req: web.Request) -> calls.Call:
        service = req.match_info["service"]
        headers = req.headers
        account = outcomes.check_id(
            "account",
            rights_lib.require_account(
                req, headers.get(protocol.ACCOUNT_HEADER, "")
            ),
        )
        given_id = headers.get(protocol.REQUEST_ID_HEADER)
        request_id = given_id or self._new_id()
        deadline_ms = _read_deadline(headers.get(protocol.DEADLINE_HEADER))
        deadline = self._clock.now() + deadline_ms
        content_type = headers.get("Content-Type", "application/octet-stream")
        resend = _read_flag(headers, protocol.RESEND_HEADER, True)
        body = await self._read_body(req, deadline)
        idempotent = _read_flag(headers, protocol.IDEMPOTENT_HEADER, False)
        return calls.Call(
            id=outcomes.check_id(protocol.REQUEST_ID_HEADER, request_id),
            account=account,
            service=outcomes.check_id("service", service),
            idempotent=idempotent,
            sent_once=given_id is None or not resend,
            deadline=deadline,
            retention_ms=IDEMPOTENT_RETENTION_MS,
            content_type=content_type,
            fingerprint=outcomes.fingerprint(service, content_type, body),
            body=body,
        )

    async def _read_body(self, req: web.Request, deadline: int) -> bytes:
        max_bytes = self._cfg.limits.body_bytes
        size = max_bytes if req.content_length is None else req.content_length
        if self._body_bytes + min(size, max_bytes) > BODY_BYTES_MAX:
            raise errors.Overloaded(
                "the request bodies in memory exceed the limit",
                retry_after_ms=clock_lib.SECOND,
                outcome=errors.Outcome.UNKNOWN,
            )
        self._body_bytes += size
        req[_BODY_BYTES] = size
        left_ms = deadline - self._clock.now()
        try:
            async with asyncio.timeout(clock_lib.seconds(left_ms)):
                return await api.read_body(req, max_bytes)
        except TimeoutError as exc:
            raise errors.DeadlineExceeded(
                "the deadline passed before the whole body arrived",
                outcome=errors.Outcome.UNKNOWN,
            ) from exc

    async def _answer(
        self, req: web.Request, call: calls.Call
    ) -> web.StreamResponse:
        try:
            answer = await self._run(call)
            resp = answers.new_response(answer)
            outcome = errors.Outcome.ANSWERED
        except errors.BilberryrouteError as exc:
            resp = self._problem_response(exc, call)
            outcome = exc.outcome
        except Exception:  # The traceback goes to the log, not to the caller.
            self.log.exception("request %s failed", call.id)
            exc = errors.OutcomeUnknown("unexpected error")
            resp = self._problem_response(exc, call)
            outcome = exc.outcome
            # Refusals can be frequent; only unknown outcomes are warnings.
            unknown = outcome is errors.Outcome.UNKNOWN
            level = logging.WARNING if unknown else logging.DEBUG
            _log.log(level, "request ended as %s: %s", outcome, exc.message)
        labels = {"service": call.service, "outcome": str(outcome)}
        self.metrics.requests.inc(labels)
        resp.headers[protocol.OUTCOME_HEADER] = str(outcome)
        resp.headers[protocol.REQUEST_ID_HEADER] = call.id
        resp.headers[protocol.ATTEMPTS_HEADER] = str(call.attempts)
        if self._board.draining.get():
            resp.force_close()
        if outcome is errors.Outcome.ANSWERED:
            await self._answer_sender.send(req, resp, call, answer)
        return resp

    def _problem_response(
        self, exc: errors.BilberryrouteError, call: calls.Call
    ) -> web.Response:
        exc.outcome = _outcome_of(exc, call)
        api.count_error(self.metrics, exc)
        return api.problem_response(exc)

    async def _run(self, call: calls.Call) -> calls.CallAnswer:
        service_config = self._service_config(call.service)
        if call.idempotent:
            self._check_accepting()
            return await self._idempotent_runner.run(call, service_config)
        call.retention_ms = outcomes.claim_retention_ms(
            call.id, service_config.answer_kept_ms
        )
        outcomes.check_id_age(
            call.id, service_config.answer_kept_ms, self._clock.wall()
        )
        try:
            self._check_accepting()
        except errors.Draining as exc:
            return await self._claim_runner.refuse(call, exc)
        return await self._claim_runner.run(call, service_config)

    def _check_accepting(self) -> None:
        if not self._accepting:
            raise errors.Draining("this entry is leaving")

    def _update_gauges(self, metrics: metrics_lib.Metrics) -> None:
        for service, length in self._dispatcher.queue_lengths().items():
            metrics.queue_length.set({"queue": service}, length)
        metrics.in_flight.set({"service": ""}, self._in_flight)

    def _service_config(self, service: str) -> config.Service:
        configuration = self._board.configuration.get()
        if configuration.revision == 0:
            raise errors.Unavailable(
                "this entry has no configuration yet",
                retry_after_ms=clock_lib.SECOND,
            )
        service_config = configuration.services.get(service)
        if service_config is None or service_config.removed:
            raise errors.NotFound(f"there is no service {service!r}")
        return service_config

    def _new_id(self) -> str:
        return outcomes.new_id(self._clock.wall(), self._rng.getrandbits(74))


def _outcome_of(
    exc: errors.BilberryrouteError, call: calls.Call
) -> errors.Outcome:
    if exc.outcome is errors.Outcome.UNKNOWN:
        return exc.outcome
    evidence = outcomes.Evidence(
        sent_once=call.sent_once,
        may_have_run=call.may_have_run,
        proved_not_run=call.proved_not_run,
    )
    return outcomes.refusal_outcome(evidence)


def _read_flag(headers, name: str, default: bool) -> bool:
    match headers.get(name):
        case None:
            return default
        case "true":
            return True
        case "false":
            return False
        case value:
            raise errors.MalformedInput(
                f"{name} must be true or false, not {value!r}"
            )


def _read_deadline(value: str | None) -> int:
    if value is None:
        return DEADLINE_DEFAULT_MS
    if not value.isdecimal() or not 0 < int(value) <= DEADLINE_MAX_MS:
        raise errors.MalformedInput(
            f"{protocol.DEADLINE_HEADER} must be 1 to {DEADLINE_MAX_MS}"
        )
    return int(value)
