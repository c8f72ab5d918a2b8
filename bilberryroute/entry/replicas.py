"""Operators' HTTP on the group of replicas."""

from typing import Annotated
from typing import Protocol

import msgspec
from aiohttp import web

from bilberryroute import api
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.entry import operator_models as models
from bilberryroute.model import membership
from bilberryroute.model import queries

Address = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f.:\[\]]+:[0-9]+\Z")]


class ReplicaModel(models.Model):
    """See `membership.AddReplica`."""

    id: models.Name
    grpc: Address
    datagram: Address
    failure_domain: models.NameOrEmpty = ""


class Control(Protocol):
    """What these routes need of the control client."""

    async def query(self, query: queries.Query) -> queries.Answer:
        """Returns the leader's answer."""

    async def change_members(
        self, change: membership.Change
    ) -> membership.Members:
        """Makes one change and returns the group after it."""


class ReplicaRoutes:
    """Serves operators who repair or extend the group of replicas."""

    def __init__(self, limits: settings.Limits, control: Control):
        self._limits = limits
        self._control = control

    def register(self, app: web.Application) -> None:
        """Adds the routes to an application of `api.new_application`."""
        app.router.add_get("/v1/replicas", self._list)
        app.router.add_post("/v1/replicas", self._add)
        app.router.add_post("/v1/replicas/{id}/promote", self._promote)
        app.router.add_delete("/v1/replicas/{id}", self._remove)

    async def _list(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        view = await self._control.query(queries.GetStatus())
        return api.json_response(membership.Members(replicas=view.replicas))

    async def _add(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        model = await api.read_json(req, ReplicaModel, self._limits.body_bytes)
        return await self._change(
            membership.AddReplica(
                id=model.id,
                grpc=model.grpc,
                datagram=model.datagram,
                failure_domain=model.failure_domain,
            )
        )

    async def _promote(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        replica = req.match_info["id"]
        return await self._change(membership.PromoteReplica(id=replica))

    async def _remove(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        replica = req.match_info["id"]
        return await self._change(membership.RemoveReplica(id=replica))

    async def _change(self, change: membership.Change) -> web.Response:
        return api.json_response(await self._control.change_members(change))
