"""Wire form of the operators' configuration."""

import collections

import msgspec

from bilberryroute import errors
from bilberryroute.model import catalog as catalog_model

# Kind of accelerator under which an account's guarantee is listed.
_ACCELERATORS = "gpu"


class _Route(msgspec.Struct, rename="camel"):
    """A queue of batch jobs.

    Attributes:
      service: Pool of workers that run the queue's tasks.
      target_latency_ms: Allowed delay of a job beside its run time.
      anonymous_access: Whether callers need no key.
      recommendation: Set if an advisory service chooses workers.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_latency_ms: int = 0
    anonymous_access: bool = False
    recommendation: dict | None = None


class _Service(msgspec.Struct, rename="camel"):
    """A pool of workers."""

    name: str
    admission_check: bool = False
    standby: bool = False


class _Tenant(msgspec.Struct, rename="camel"):
    """A client account with its keys and guaranteed accelerators."""

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed_gpus: dict[str, int] = {}


class _Config(msgspec.Struct, rename="camel"):
    """The whole configuration under one version."""

    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    tenants: tuple[_Tenant, ...] = ()


_configs = msgspec.json.Decoder(_Config)


def decode(body: bytes) -> catalog_model.Catalog:
    """Returns the catalog that an operator wants in force.

    Raises:
      errors.MalformedInput: If it cannot be read or contradicts itself.
    """
    try:
        said = _configs.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MalformedInput(f"malformed configuration: {exc}") from exc
    _check_routes(said)
    _check_keys(said)
    return catalog_model.Catalog(
        version=said.version,
        queues=tuple(map(_queue, said.routes)),
        accounts=tuple(map(_account, said.tenants)),
        document=body,
    )


def _check_routes(said: _Config) -> None:
    if said.version < 1:
        raise errors.MalformedInput(f"version {said.version} is below 1")
    services = {service.name for service in said.services}
    places = collections.Counter((r.host, r.path_prefix) for r in said.routes)
    for route in said.routes:
        if route.service not in services:
            raise errors.MalformedInput(
                f"route {route.name} names the unknown service {route.service}"
            )
        if route.timeout_ms <= 0:
            raise errors.MalformedInput(f"route {route.name} has no timeout")
        if places[route.host, route.path_prefix] > 1:
            raise errors.MalformedInput(
                f"route {route.name} shares its host and prefix"
            )


def _check_keys(said: _Config) -> None:
    owners: dict[str, str] = {}
    for tenant in said.tenants:
        for key in tenant.api_keys:
            if owners.setdefault(key, tenant.name) != tenant.name:
                raise errors.MalformedInput(
                    f"accounts {owners[key]} and {tenant.name} share a key"
                )


def _queue(route: _Route) -> catalog_model.Queue:
    return catalog_model.Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        pool=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        slack_factor=route.slack_factor,
        target_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        open=route.anonymous_access,
        advised=route.recommendation is not None,
    )


def _account(tenant: _Tenant) -> catalog_model.BatchAccount:
    return catalog_model.BatchAccount(
        name=tenant.name,
        keys=tenant.api_keys,
        guaranteed=tenant.guaranteed_gpus.get(_ACCELERATORS, 0),
    )
