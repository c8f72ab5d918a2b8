"""Commands that talk to an entry over HTTP."""

import asyncio
import dataclasses
import functools
import inspect
import pathlib
import textwrap
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import status
from bilberryroute.cli import output
from bilberryroute.routing import protocol

ENTRY_VARIABLE = "BILBERRYROUTE_ENTRY"
TOKEN_FILE_VARIABLE = "BILBERRYROUTE_TOKEN_FILE"
DEFAULT_ENTRY = "http://127.0.0.1:7070"
TIMEOUT_MS = 30_000

_COMMON_ARGS = f"""
  entry: Entry to ask, by default ${ENTRY_VARIABLE}, else {DEFAULT_ENTRY}.
  token_file: File with the bearer token, by default ${TOKEN_FILE_VARIABLE}.
  json: Print the result as JSON.
"""

Command = Callable[..., Awaitable[status.ExitStatus]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What all client commands have in common."""

    entry: str = ""
    token_file: str = ""
    json: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """One HTTP answer that is no problem document."""

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self, kind: type = dict) -> Any:
        """Returns the body as a typed value.

        Raises:
          errors.BilberryrouteError: If the body has another form.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.MsgspecError as exc:
            raise errors.BilberryrouteError(
                f"the entry's answer has another form: {exc}",
                remedy="Use the same version here and at the entry.",
            ) from exc


class Problem(msgspec.Struct):
    """Problem document of an entry."""

    detail: str
    kind: str
    remedy: str
    outcome: errors.Outcome = errors.Outcome.UNKNOWN


class ServerError(errors.BilberryrouteError):
    """An entry answered with a problem document."""

    def __init__(self, problem: Problem):
        super().__init__(problem.detail, remedy=problem.remedy)
        self.kind = problem.kind
        self.outcome = problem.outcome
        self.exit_status = _exit_status(problem)


def _exit_status(problem: Problem) -> status.ExitStatus:
    kind = errors.by_kind(problem.kind)
    if kind.kind == problem.kind:
        return kind.exit_status
    if problem.outcome == errors.Outcome.NOT_RUN:
        return status.ExitStatus.REFUSED
    return status.ExitStatus.UNKNOWN


class Session:
    """Connection of one command to an entry.

    Attributes:
      env: Streams and variables of the program.
      output: Prints results.
    """

    def __init__(self, env: context.Environment, options: Options):
        self.env = env
        self.output = output.Output(env.stdout, as_json=options.json)
        self._base = _entry_url(env, options)
        self._headers = _token_headers(env, options)

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Answer:
        """Sends one request and returns its answer.

        Raises:
          errors.Unavailable: If the entry cannot be reached.
          errors.OutcomeUnknown: If the connection was lost before the answer.
          ServerError: If the answer is a problem document.
        """
        timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(timeout_ms))
        try:
            async with aiohttp.ClientSession(timeout=timeout) as http:
                async with http.request(
                    method,
                    self._base + path,
                    data=body,
                    headers=self._headers | (headers or {}),
                ) as answer:
                    return await _read_answer(answer)
        except aiohttp.ClientConnectorError as exc:
            raise errors.Unavailable(
                f"cannot reach the entry {self._base}: {exc.os_error}",
                remedy=f"Check --entry or ${ENTRY_VARIABLE}.",
            ) from exc
        except aiohttp.InvalidURL as exc:
            raise errors.UsageError(
                f"{self._base!r} is no URL of an entry",
                remedy="Give --entry as http://ip:port.",
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise errors.OutcomeUnknown(
                f"the connection to {self._base} was lost: {exc!r}"
            ) from exc


async def _read_answer(answer: aiohttp.ClientResponse) -> Answer:
    body = await answer.read()
    if _is_problem(answer):
        raise ServerError(msgspec.json.decode(body, type=Problem))
    return Answer(status=answer.status, headers=dict(answer.headers), body=body)


def _is_problem(answer: aiohttp.ClientResponse) -> bool:
    # An endpoint's own problem document is an answer like any other.
    outcome = answer.headers.get(protocol.OUTCOME_HEADER)
    return (
        answer.content_type == api.PROBLEM_TYPE
        and outcome != errors.Outcome.ANSWERED
    )


def _entry_url(env: context.Environment, options: Options) -> str:
    url = options.entry or env.variables.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
    return url.rstrip("/")


def _token_headers(
    env: context.Environment, options: Options
) -> dict[str, str]:
    path = options.token_file or env.variables.get(TOKEN_FILE_VARIABLE, "")
    if not path:
        return {}
    words = read_file(env, path).split()
    if len(words) != 1 or not words[0].isascii():
        raise errors.UsageError(
            f"{path} does not hold one token",
            remedy="Name a file whose only content is the bearer token.",
        )
    return {"Authorization": f"Bearer {words[0].decode()}"}


def read_file(env: context.Environment, path: str) -> bytes:
    """Returns a file's content; `-` stands for standard input.

    Raises:
      errors.UsageError: If the file cannot be read.
    """
    try:
        if path == "-":
            return env.stdin.read().encode()
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.UsageError(
            f"cannot read {path}: {exc.strerror}",
            remedy="Name a readable file, or - for standard input.",
        ) from exc


def command(function: Command) -> Callable[..., Callable]:
    """Adds --entry, --token-file and --json to a command.

    The function's first parameter, a `Session`, is not on the command line.
    """
    common = [
        inspect.Parameter(
            field.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=field.default,
            annotation=field.type,
        )
        for field in dataclasses.fields(Options)
    ]
    own = list(inspect.signature(function).parameters.values())[1:]

    def parsed(*args: Any, entry="", token_file="", json=False, **kwargs: Any):
        options = Options(entry=entry, token_file=token_file, json=json)
        bound = functools.partial(function, *args, **kwargs)
        return functools.partial(_run, bound, options)

    parsed.__name__ = function.__name__
    parsed.__doc__ = _with_common_args(inspect.getdoc(function))
    parsed.__signature__ = inspect.Signature(own + common)
    parsed.__annotations__ = {p.name: p.annotation for p in own + common}
    return parsed


def _with_common_args(doc: str) -> str:
    # Google form: the section "Args" is the last one of a command.
    section = "" if "\nArgs:" in doc else "\n\nArgs:"
    return doc + section + textwrap.dedent(_COMMON_ARGS).replace("\n", "\n  ")


def _run(
    bound: functools.partial, options: Options, env: context.Environment
) -> status.ExitStatus:
    def start():
        session = Session(env, options)
        return bound.func(session, *bound.args, **bound.keywords)

    async def run():
        return await start()

    return asyncio.run(run())
