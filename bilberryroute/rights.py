"""Rights of operators and callers, by bearer tokens.

`middleware` sets `req[OPERATOR]` and `req[ACCOUNT]` (the client account that
the caller's token is bound to, or empty), which the `require_…` functions
read.
"""

import dataclasses
import hmac
import ipaddress
import pathlib
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from bilberryroute import errors
from bilberryroute import settings

ACCOUNT_HEADER = "Bilberryroute-Account"
MIN_TOKEN_CHARS = 16

OPERATOR = web.RequestKey("operator", bool)
ACCOUNT = web.RequestKey("account", str)
UNRESTRICTED = web.RequestKey("unrestricted", bool)
RESTRICTED = web.RequestKey("restricted", bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Middleware = Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]


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


def load(tokens: settings.Tokens) -> Rights:
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


def middleware(rights: Rights) -> Middleware:
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
        req[RESTRICTED] = rights.restricted
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
    raise _missing_token(req, "an operator's token")


def require_token(req: web.Request) -> None:
    """Passes operators and callers.

    Raises:
      errors.Unauthenticated: If the request carries no token.
    """
    if not req[OPERATOR] and not req[ACCOUNT]:
        raise _missing_token(req, "a token")


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
    raise _missing_token(req, "a caller's token")


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


def _missing_token(req: web.Request, needed: str) -> errors.Unauthenticated:
    if req[RESTRICTED]:
        return errors.Unauthenticated(f"this needs {needed}")
    return errors.Unauthenticated(
        f"this needs {needed}, and this process has none",
        remedy="Connect from loopback, or set [tokens] in the settings.",
    )


def _named_account(named: str) -> str:
    if not named:
        raise errors.MalformedInput(
            "no client account is named",
            remedy=f"Set the header {ACCOUNT_HEADER}, or give --account.",
        )
    return named
