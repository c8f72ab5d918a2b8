"""Border of all HTTP servers: problem documents, rights and bounds.

Errors leave as RFC 9457 problem documents. `rights_middleware` sets
`req[OPERATOR]` and `req[ACCOUNT]` (the client account that the caller's token
is bound to, or empty), which `require_operator` and `require_account` read.
"""

import dataclasses
import hmac
import http
import ipaddress
import logging
import pathlib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings

ACCOUNT_HEADER = "Bilberryroute-Account"
PROBLEM_TYPE = "application/problem+json"
PROBLEM_PREFIX = "urn:bilberryroute:problem:"
MIN_TOKEN_CHARS = 16

OPERATOR = web.RequestKey("operator", bool)
ACCOUNT = web.RequestKey("account", str)
UNRESTRICTED = web.RequestKey("unrestricted", bool)

_log = logging.getLogger(__name__)

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


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


def error_middleware(metrics: metrics_lib.Metrics) -> Handler:
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


def bounds_middleware(limits: settings.Limits) -> Handler:
    """Returns the middleware that bounds the headers as a whole."""

    @web.middleware
    async def check_headers(
        req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        size = sum(len(k) + len(v) + 4 for k, v in req.raw_headers)
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
    body = bytearray()
    async for chunk in req.content.iter_any():
        body += chunk
        if len(body) > bound:
            raise errors.TooLarge(f"the body exceeds {bound} bytes")
    return bytes(body)


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
    return decode_json(await read_body(req, bound), kind)


def json_response(body: object, status: int = http.HTTPStatus.OK):
    """Returns a JSON answer of a data class or model."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=int(status),
        content_type="application/json",
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerToken:
    """A caller's token and the client account that it is bound to."""

    account: str
    token: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rights:
    """Who may do what.

    Attributes:
      restricted: False if no token file is set: loopback peers may do all.
      operators: Tokens of operators.
      callers: Tokens of callers.
    """

    restricted: bool = False
    operators: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    callers: tuple[CallerToken, ...] = dataclasses.field(default=(), repr=False)

    def is_operator(self, token: bytes) -> bool:
        """Returns whether a token is an operator's, in constant time."""
        found = False
        for known in self.operators:
            found |= hmac.compare_digest(known, token)
        return found

    def account_of(self, token: bytes) -> str:
        """Returns the account that a token is bound to, or empty."""
        account = ""
        for caller in self.callers:
            if hmac.compare_digest(caller.token, token):
                account = caller.account
        return account


def load_rights(tokens: settings.Tokens) -> Rights:
    """Reads the token files that the settings name.

    Blank lines and lines that start with `#` are ignored.

    Raises:
      errors.SettingsError: If a file cannot be read or has a bad line.
    """
    return Rights(
        restricted=bool(tokens.operators or tokens.callers),
        operators=tuple(
            _checked_token(words, 1, tokens.operators)[0].encode()
            for words in _token_lines(tokens.operators)
        ),
        callers=tuple(
            CallerToken(account=account, token=token.encode())
            for account, token in (
                _checked_token(words, 2, tokens.callers)
                for words in _token_lines(tokens.callers)
            )
        ),
    )


def _token_lines(path: str) -> list[list[str]]:
    if not path:
        return []
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            f"token file {path} cannot be read: {exc}",
            remedy="Name a readable UTF-8 file under [tokens].",
        ) from exc
    lines = [line.split() for line in text.splitlines()]
    return [words for words in lines if words and words[0][0] != "#"]


def _checked_token(words: list[str], count: int, path: str) -> list[str]:
    if len(words) != count or len(words[-1]) < MIN_TOKEN_CHARS:
        form = "`token`" if count == 1 else "`account token`"
        raise errors.SettingsError(
            f"token file {path} has a line that is not {form} with a token"
            f" of at least {MIN_TOKEN_CHARS} characters",
            remedy="Mend the line; tokens themselves are never shown.",
        )
    return words


def rights_middleware(rights: Rights) -> Handler:
    """Returns the middleware that sets `req[OPERATOR]`, `req[ACCOUNT]`.

    With token files set, a request without a token passes with no right, so
    that open paths such as `/healthz` stay open. A wrong token is refused.
    """

    @web.middleware
    async def check_token(
        req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        req[OPERATOR] = False
        req[ACCOUNT] = ""
        req[UNRESTRICTED] = not rights.restricted and is_loopback(req)
        token = _bearer_token(req)
        if token is not None and rights.restricted:
            req[OPERATOR] = rights.is_operator(token)
            req[ACCOUNT] = rights.account_of(token)
            if not req[OPERATOR] and not req[ACCOUNT]:
                raise errors.Unauthenticated("the bearer token is wrong")
        if req[UNRESTRICTED]:
            req[OPERATOR] = True
            req[ACCOUNT] = req.headers.get(ACCOUNT_HEADER, "")
        return await handler(req)

    return check_token


def is_loopback(req: web.Request) -> bool:
    """Returns whether the peer of the connection is this machine."""
    try:
        return ipaddress.ip_address(req.remote or "").is_loopback
    except ValueError:
        return False


def _bearer_token(req: web.Request) -> bytes | None:
    header = req.headers.get("Authorization")
    if header is None:
        return None
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise errors.Unauthenticated("Authorization is not a bearer token")
    return token.strip().encode("utf-8", "surrogateescape")


def require_operator(req: web.Request) -> None:
    """Passes operators only.

    Raises:
      errors.Unauthenticated: If the request carries no token.
      errors.Forbidden: If it is a caller's.
    """
    if req[OPERATOR]:
        return
    if req[ACCOUNT]:
        raise errors.Forbidden(
            "this needs an operator's token",
            remedy="Ask an operator, or use an operator's token.",
        )
    raise errors.Unauthenticated("this needs an operator's token")


def require_token(req: web.Request) -> None:
    """Passes operators and callers.

    Raises:
      errors.Unauthenticated: If the request carries no token.
    """
    if not req[OPERATOR] and not req[ACCOUNT]:
        raise errors.Unauthenticated("this needs a token")


def require_account(req: web.Request, claimed: str = "") -> str:
    """Returns the client account that the request acts for.

    Args:
      req: The request.
      claimed: Account named in path or body; empty to go by the header.

    Raises:
      errors.Unauthenticated: If the request carries no token.
      errors.Forbidden: If the token is bound to another account, or to none.
      errors.MalformedInput: If no account is named.
    """
    named = claimed or req.headers.get(ACCOUNT_HEADER, "")
    if req[UNRESTRICTED]:
        return _named_account(named)
    if req[ACCOUNT]:
        if named and named != req[ACCOUNT]:
            raise errors.Forbidden("the token is bound to another account")
        return req[ACCOUNT]
    if req[OPERATOR]:
        raise errors.Forbidden("an operator's token is bound to no account")
    raise errors.Unauthenticated("this needs a caller's token")


def require_operator_or_account(req: web.Request, claimed: str) -> str:
    """Returns the account that an operator, or the account itself, names.

    Raises:
      errors.Unauthenticated: If the request carries no token.
      errors.Forbidden: If the token is bound to another account.
      errors.MalformedInput: If no account is named.
    """
    if req[OPERATOR]:
        return _named_account(claimed or req.headers.get(ACCOUNT_HEADER, ""))
    return require_account(req, claimed)


def _named_account(named: str) -> str:
    if not named:
        raise errors.MalformedInput(
            "no client account is named",
            remedy=f"Set the header {ACCOUNT_HEADER}.",
        )
    return named


def new_application(
    limits: settings.Limits,
    metrics: metrics_lib.Metrics,
    rights: Rights | None = None,
) -> web.Application:
    """Returns an application with the border's middlewares and `/metrics`.

    Args:
      limits: Bounds on bodies and headers.
      metrics: Counts the refusals.
      rights: Who may do what; None for a server that checks none.
    """
    middlewares = [error_middleware(metrics), bounds_middleware(limits)]
    if rights is not None:
        middlewares.append(rights_middleware(rights))
    app = web.Application(
        middlewares=middlewares,
        client_max_size=max(limits.body_bytes, limits.ticket_bytes),
    )
    app.router.add_get("/metrics", metrics.handler)
    return app


def new_runner(
    app: web.Application, limits: settings.Limits, **kwargs: object
) -> web.AppRunner:
    """Returns the runner of an application with bounded header fields."""
    return web.AppRunner(
        app,
        access_log=None,
        max_line_size=limits.header_bytes,
        max_field_size=limits.header_bytes,
        **kwargs,
    )
