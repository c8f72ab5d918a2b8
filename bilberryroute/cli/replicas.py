"""Commands on the group of replicas."""

import urllib.parse

import msgspec

from bilberryroute import status
from bilberryroute.cli import client
from bilberryroute.model import membership


@client.command
async def list_replicas(session: client.Session) -> status.ExitStatus:
    """Lists the replicas of the group.

    Example::

      bilberryroute replica list
    """
    return _show(session, await session.call("GET", "/v1/replicas"))


@client.command
async def add(
    session: client.Session,
    id: str,
    *,
    grpc: str,
    datagram: str,
    failure_domain: str = "",
) -> status.ExitStatus:
    """Adds a running replica, which receives the log and does not vote yet.

    Example::

      bilberryroute replica add r4 --grpc 10.0.0.4:7071 --datagram 10.0.0.4:7072

    Args:
      session: Connection to the entry.
      id: Its replica_id in the settings.
      grpc: Its listen.grpc in the settings.
      datagram: Its listen.datagram in the settings.
      failure_domain: Where it runs.
    """
    body = {
        "id": id,
        "grpc": grpc,
        "datagram": datagram,
        "failure_domain": failure_domain,
    }
    answer = await session.call(
        "POST", "/v1/replicas", body=msgspec.json.encode(body)
    )
    return _show(session, answer)


@client.command
async def promote(session: client.Session, id: str) -> status.ExitStatus:
    """Lets a replica vote once it has caught up.

    Example::

      bilberryroute replica promote r4

    Args:
      session: Connection to the entry.
      id: The replica.
    """
    path = f"{_path(id)}/promote"
    return _show(session, await session.call("POST", path))


@client.command
async def remove(session: client.Session, id: str) -> status.ExitStatus:
    """Takes a replica out of the group for good.

    Example::

      bilberryroute replica remove r1

    Args:
      session: Connection to the entry.
      id: The replica, by its whole identity if two have the same id.
    """
    return _show(session, await session.call("DELETE", _path(id)))


def _path(replica: str) -> str:
    return f"/v1/replicas/{urllib.parse.quote(replica, safe='')}"


def _show(session: client.Session, answer: client.Answer) -> status.ExitStatus:
    members = answer.decode(membership.Members)
    if session.output.as_json:
        session.output.json(members)
        return status.ExitStatus.SUCCESS
    session.output.table(
        ("replica", "role", "grpc"),
        [(each.id, each.role, each.grpc) for each in members.replicas],
    )
    return status.ExitStatus.SUCCESS
