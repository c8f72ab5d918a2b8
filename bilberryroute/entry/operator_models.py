"""Validated request models of tickets and jobs, with their bounds.

They are used only to parse requests: `to_ticket` and `to_job` convert them to
the data classes of `bilberryroute.model`.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import config
from bilberryroute.model import jobs

MAX_NUMBER = 2**53 - 1
MAX_OBJECTS = 20_000
MAX_ACCELERATORS = 100_000
MAX_COUNT = 100_000
MAX_CORES = 4_096
MAX_MEMORY_MB = 16 * 1_024 * 1_024
MAX_DECLARED_MS = 60 * clock_lib.DAY

_NAME = r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}"

Name = Annotated[str, msgspec.Meta(pattern=rf"\A{_NAME}\Z")]
NameOrEmpty = Annotated[str, msgspec.Meta(pattern=rf"\A({_NAME})?\Z")]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Duration = Annotated[int, msgspec.Meta(ge=1, le=clock_lib.DAY)]


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the models; rejects unknown fields."""


class ShapeModel(Model):
    """See `config.Shape`."""

    accelerators: Annotated[int, msgspec.Meta(ge=1, le=MAX_ACCELERATORS)]
    copies: Count = 1
    adjacency: config.Adjacency = config.Adjacency.RACK
    failure_domain: NameOrEmpty = ""


class AccountModel(Model):
    """See `config.ClientAccount`."""

    name: Name
    guarantees: Annotated[
        tuple[ShapeModel, ...], msgspec.Meta(max_length=256)
    ] = ()
    weight: Count = 1
    removed: bool = False


class FailureDomainModel(Model):
    """See `config.FailureDomain`."""

    name: Name
    region: NameOrEmpty = ""
    in_service: bool = True


class ServiceModel(Model):
    """See `config.Service`."""

    name: Name
    slots_per_endpoint: Count = 8
    connections_per_endpoint: Count = 60
    queue_per_account: Count = 256
    queue_ms: Duration = 2_000
    answer_kept_ms: Duration = 600_000
    removed: bool = False


class WorkerModel(Model):
    """See `config.WorkerState`."""

    name: Name
    in_service: bool = True


class TicketModel(Model):
    """See `config.Ticket`."""

    number: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    accounts: Annotated[
        tuple[AccountModel, ...], msgspec.Meta(max_length=MAX_OBJECTS)
    ] = ()
    failure_domains: Annotated[
        tuple[FailureDomainModel, ...], msgspec.Meta(max_length=MAX_OBJECTS)
    ] = ()
    services: Annotated[
        tuple[ServiceModel, ...], msgspec.Meta(max_length=MAX_OBJECTS)
    ] = ()
    workers: Annotated[
        tuple[WorkerModel, ...], msgspec.Meta(max_length=MAX_OBJECTS)
    ] = ()


class JobModel(Model):
    """See `jobs.Job`; the entry generates an id if it is empty."""

    shape: ShapeModel
    declared_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DECLARED_MS)]
    id: NameOrEmpty = ""
    account: NameOrEmpty = ""
    kind: jobs.JobKind = jobs.JobKind.PLANNED
    cores_per_accelerator: Annotated[int, msgspec.Meta(ge=0, le=MAX_CORES)] = 1
    memory_mb_per_accelerator: Annotated[
        int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)
    ] = 1_024


class CancelModel(Model):
    """Ids of the jobs to cancel."""

    job_ids: Annotated[
        tuple[Name, ...], msgspec.Meta(min_length=1, max_length=MAX_OBJECTS)
    ]


def to_ticket(model: TicketModel) -> config.Ticket:
    """Converts a ticket to canonical form, with objects sorted by name.

    Raises:
      errors.MalformedInput: If an object is named twice.
    """
    ticket = msgspec.convert(model, config.Ticket, from_attributes=True)
    return dataclasses.replace(
        ticket,
        accounts=_sorted_by_name("accounts", ticket.accounts),
        failure_domains=_sorted_by_name(
            "failure_domains", ticket.failure_domains
        ),
        services=_sorted_by_name("services", ticket.services),
        workers=_sorted_by_name("workers", ticket.workers),
    )


def _sorted_by_name(field: str, objects: Iterable) -> tuple:
    by_name = {}
    for obj in objects:
        if by_name.setdefault(obj.name, obj) is not obj:
            raise errors.MalformedInput(
                f"{field} names {obj.name!r} twice",
                remedy="Give the whole new state of each object once.",
            )
    return tuple(by_name[name] for name in sorted(by_name))


def digest(ticket: config.Ticket) -> str:
    """Returns the SHA-256 digest of a ticket in canonical form."""
    payload = msgspec.json.encode(ticket, order="sorted")
    return hashlib.sha256(payload).hexdigest()


def to_job(model: JobModel, job_id: str, account: str) -> jobs.Job:
    """Returns a job with the given id and account.

    Raises:
      errors.MalformedInput: If the shape has more than one copy.
    """
    if model.shape.copies != 1:
        raise errors.MalformedInput(
            f"a job must have one block, not {model.shape.copies}",
            remedy="Submit one job for each block.",
        )
    return jobs.Job(
        id=job_id,
        account=account,
        kind=model.kind,
        shape=msgspec.convert(model.shape, config.Shape, from_attributes=True),
        declared_ms=model.declared_ms,
        cores_per_accelerator=model.cores_per_accelerator,
        memory_mb_per_accelerator=model.memory_mb_per_accelerator,
    )
