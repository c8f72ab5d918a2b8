"""Common layer of all HTTP servers: problem documents and size limits.

Errors leave as RFC 9457 problem documents and are counted by kind.
"""

import http
import logging
import re
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings

PROBLEM_TYPE = "application/problem+json"
PROBLEM_PREFIX = "urn:bilberryroute:problem:"
PARSER_FACTOR = 4

# A step of a batch job takes 510 bytes once it is decoded and translated.
OBJECT_BYTES = 512
ITEM_BYTES = 32
# Beyond, text in strings is left out, at the cost of a second pass.
EXACT_BYTES = 1_000_000
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)

_log = logging.getLogger(__name__)

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Middleware = Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]


@runtime_checkable
class Reserving(Protocol):
    """A connection that accounts for the memory of its request."""

    def reserve(self, size: int) -> None:
        """Reserves bytes until the request is answered."""


class MethodNotAllowed(errors.Refused):
    """The path exists, but not with this method."""

    kind = "method_not_allowed"
    remedy = "Use a method listed in docs/API.md for this path."
    http_status = http.HTTPStatus.METHOD_NOT_ALLOWED


def problem_response(exc: errors.BilberryrouteError) -> web.Response:
    """Returns the problem document of an error (RFC 9457)."""
    body = {
        "type": PROBLEM_PREFIX + exc.kind,
        "title": exc.kind.replace("_", " ").capitalize(),
        "status": int(exc.http_status),
        "detail": exc.message,
        "kind": exc.kind,
        "outcome": str(exc.outcome),
        "remedy": exc.remedy,
        **exc.extensions,
    }
    headers = {}
    if exc.retry_after_ms is not None:
        # The header holds whole seconds; a shorter wait is rounded up.
        seconds = -(-exc.retry_after_ms // clock_lib.MS_PER_SECOND)
        headers["Retry-After"] = str(max(1, seconds))
        body["retry_after_ms"] = exc.retry_after_ms
    if exc.http_status == http.HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        body=msgspec.json.encode(body),
        status=int(exc.http_status),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def error_middleware(metrics: metrics_lib.Metrics) -> Middleware:
    """Returns the middleware that turns errors into counted problems."""

    @web.middleware
    async def answer_errors(
        req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(req)
        except errors.BilberryrouteError as exc:
            error = exc
        except web.HTTPException as exc:
            if exc.status < http.HTTPStatus.BAD_REQUEST:
                raise
            error = _from_http_exception(exc, req)
        except ConnectionError:
            if req.transport is None:
                raise  # The client has gone; nobody waits for an answer.
            _log.exception("connection failed: %s %s", req.method, req.path)
            error = errors.BilberryrouteError("unexpected error")
        except Exception:  # The caller gets no traceback, the log does.
            _log.exception("unexpected error on %s %s", req.method, req.path)
            error = errors.BilberryrouteError("unexpected error")
        count_error(metrics, error)
        return problem_response(error)

    return answer_errors


def count_error(
    metrics: metrics_lib.Metrics, exc: errors.BilberryrouteError
) -> None:
    """Counts an error under its kind, as a refusal or as a failure."""
    if isinstance(exc, errors.Refused):
        metrics.refused(exc.kind)
    else:
        metrics.failed(exc.kind)


def _from_http_exception(
    exc: web.HTTPException, req: web.Request
) -> errors.BilberryrouteError:
    match exc.status:
        case http.HTTPStatus.NOT_FOUND:
            return errors.NotFound(
                f"no such path: {req.path}", remedy="See docs/API.md."
            )
        case http.HTTPStatus.METHOD_NOT_ALLOWED:
            return MethodNotAllowed(f"{req.method} is not allowed here")
        case http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return errors.TooLarge("the body exceeds its bound")
        case _:
            return errors.MalformedInput(exc.reason or "bad request")


def bounds_middleware(limits: settings.Limits) -> Middleware:
    """Returns the middleware that bounds the headers as a whole."""

    @web.middleware
    async def check_headers(
        req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        size = len(req.raw_path)
        size += sum(len(k) + len(v) + 4 for k, v in req.raw_headers)
        if size > limits.header_bytes:
            raise errors.TooLarge(
                f"the headers have {size} bytes, the bound is"
                f" {limits.header_bytes}",
                remedy="Send fewer or shorter headers.",
            )
        return await handler(req)

    return check_headers


async def read_body(req: web.Request, bound: int) -> bytes:
    """Returns the body of a request.

    Raises:
      errors.TooLarge: If it has more than `bound` bytes.
    """
    if (req.content_length or 0) > bound:
        raise errors.TooLarge(f"the body exceeds {bound} bytes")
    # A growing buffer would be copied again and again, at twice its size.
    pieces = []
    size = 0
    async for piece in req.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > bound:
            raise errors.TooLarge(f"the body exceeds {bound} bytes")
    return b"".join(pieces)


def reserve_decoded(req: web.Request, body: bytes) -> None:
    """Reserves memory for what a JSON body will be once it is decoded.

    Many short members take many times the bytes of their text.

    Raises:
      errors.IntakeFull: If the process does not have so much left.
    """
    if isinstance(req.protocol, Reserving):
        req.protocol.reserve(decoded_bytes(body))


def decoded_bytes(body: bytes) -> int:
    """Returns about how many bytes a JSON body takes beside its strings."""
    size = _members_bytes(body)
    if size > EXACT_BYTES:
        return _members_bytes(_JSON_STRING.sub(b"", body))
    return size


def _members_bytes(body: bytes) -> int:
    objects = body.count(b"{") + body.count(b"[")
    return OBJECT_BYTES * objects + ITEM_BYTES * body.count(b",")


def decode_json(payload: bytes, kind: type[T]) -> T:
    """Returns a validated model.

    Raises:
      errors.MalformedInput: If the payload is no JSON, or not such a model.
    """
    try:
        return msgspec.json.decode(payload, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MalformedInput(f"malformed body: {exc}") from exc


async def read_json(req: web.Request, kind: type[T], bound: int) -> T:
    """Reads and validates a body.

    Raises:
      errors.TooLarge: If it has more than `bound` bytes.
      errors.MalformedInput: If it is no JSON, or not such a model.
    """
    body = await read_body(req, bound)
    reserve_decoded(req, body)
    return decode_json(body, kind)


def json_response(
    body: object, status: int = http.HTTPStatus.OK
) -> web.Response:
    """Returns a JSON answer of a data class or model."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=int(status),
        content_type="application/json",
    )


def new_application(
    limits: settings.Limits,
    metrics: metrics_lib.Metrics,
    rights: rights_lib.Rights | None = None,
) -> web.Application:
    """Returns an application with the common middlewares and `/metrics`.

    Args:
      limits: Bounds on bodies and headers.
      metrics: Counts the refusals.
      rights: Who may do what; None for a server that checks none.
    """
    middlewares = [error_middleware(metrics), bounds_middleware(limits)]
    if rights is not None:
        middlewares.append(rights_lib.middleware(rights))
    app = web.Application(
        middlewares=middlewares,
        client_max_size=max(limits.body_bytes, limits.ticket_bytes),
    )
    app.router.add_get("/metrics", metrics.handler)
    return app


def new_runner(
    app: web.Application,
    limits: settings.Limits,
    make: Callable[..., web.AppRunner] = web.AppRunner,
    **kwargs: object,
) -> web.AppRunner:
    """Returns the runner of an application with bounded header fields."""
    # The parser's own errors are not typed, so its limit is higher than that
    # of the middleware.
    parser_bytes = PARSER_FACTOR * limits.header_bytes
    return make(
        app,
        access_log=None,
        max_line_size=parser_bytes,
        max_field_size=parser_bytes,
        **kwargs,
    )
