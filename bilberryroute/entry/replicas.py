"""HTTP API for the membership of the replica group."""

import dataclasses
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


class ReplicaControl(Protocol):
    """Methods of the control client that these routes need."""

    async def query(self, query: queries.Query) -> queries.Answer:
        """Returns the leader's answer."""

    async def change_members(
        self, change: membership.MembershipChange
    ) -> membership.Members:
        """Applies one membership change and returns the new membership."""


class ReplicaRoutes:
    """HTTP routes to list, add, promote and remove replicas."""

    def __init__(self, limits: settings.Limits, control: ReplicaControl):
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
        return api.json_response(
            membership.Members(
                replicas=view.replicas, version=view.membership_version
            )
        )

    async def _add(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        model = await api.read_json(req, ReplicaModel, self._limits.body_bytes)
        return await self._change_members(
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
        return await self._change_members(membership.PromoteReplica(id=replica))

    async def _remove(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        replica = req.match_info["id"]
        return await self._change_members(membership.RemoveReplica(id=replica))

    async def _change_members(
        self, change: membership.MembershipChange
    ) -> web.Response:
        view = await self._control.query(queries.GetStatus())
        change = dataclasses.replace(
            change, after_version=view.membership_version
        )
        return api.json_response(await self._control.change_members(change))
