"""Command that sends a caller's request."""

import urllib.parse

from bilberryroute import clock as clock_lib
from bilberryroute import status
from bilberryroute.cli import client
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol

_ID_BITS = 74
_MARGIN_MS = 5 * clock_lib.SECOND


@client.command
async def send(
    session: client.Session,
    service: str,
    *,
    account: str = "",
    id: str = "",
    body: str = "",
    body_file: str = "",
    idempotent: bool = False,
    deadline_ms: int = 10_000,
) -> status.ExitStatus:
    """Sends one request to a service and prints the whole answer.

    Without --idempotent the request runs at most once. After exit status 5
    (not run) or 6 (unknown) resend it under the same id, which is printed on
    standard error.

    Example::

      bilberryroute request gang-alloc --account rosters --body '{"berth": 3}'

    Args:
      session: Connection to the entry.
      service: Name of the service.
      account: Client account; by default the one of the token.
      id: Request id; by default a new one.
      body: Body of the request.
      body_file: File with the body; - for standard input.
      idempotent: The request may run more than once.
      deadline_ms: Milliseconds until an answer is of no use, by default
        10000.
    """
    request_id = id or _new_id(session)
    headers = {
        protocol.REQUEST_ID_HEADER: request_id,
        protocol.DEADLINE_HEADER: str(deadline_ms),
        protocol.IDEMPOTENT_HEADER: _flag(idempotent),
        protocol.RESEND_HEADER: _flag(bool(id)),
    }
    if account:
        headers[protocol.ACCOUNT_HEADER] = account
    session.env.stderr.write(f"request id: {request_id}\n")
    answer = await session.call(
        "POST",
        f"/v1/services/{urllib.parse.quote(service, safe='')}/requests",
        body=_payload(session, body, body_file),
        headers=headers,
        timeout_ms=deadline_ms + _MARGIN_MS,
    )
    _show(session, answer, request_id)
    return status.ExitStatus.SUCCESS


def _new_id(session: client.Session) -> str:
    env = session.env
    bits = env.rng.getrandbits(_ID_BITS)
    return outcomes.new_id(env.clock.wall(), bits)


def _flag(value: bool) -> str:
    return "true" if value else "false"


def _payload(session: client.Session, body: str, body_file: str) -> bytes:
    if body_file:
        return client.read_file(session.env, body_file)
    return body.encode()


def _show(
    session: client.Session, answer: client.Answer, request_id: str
) -> None:
    text = answer.body.decode("utf-8", "replace")
    if session.output.as_json:
        session.output.json(
            {
                "request_id": request_id,
                "outcome": answer.headers.get(protocol.OUTCOME_HEADER, ""),
                "status": answer.status,
                "body": text,
            }
        )
        return
    session.output.line(text)
