"""HTTP API for batch jobs and the catalog under `/v1`."""

from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.entry import batch as batch_lib
from bilberryroute.entry import batch_models as models
from bilberryroute.model import catalog as catalog_model

KEY_HEADER = "Bilberryroute-Key"
LEADER_TIMEOUT_MS = clock_lib.Millis(8_000)


class BatchRoutes:
    """HTTP routes for callers and operators of batch jobs."""

    def __init__(self, limits: settings.Limits, client: batch_lib.BatchClient):
        self._limits = limits
        self._client = client

    def register(self, app: web.Application) -> None:
        """Adds the routes to an application of `api.new_application`."""
        router = app.router
        router.add_post("/v1/catalog", self._apply_catalog)
        router.add_get("/v1/catalog", self._show_catalog)
        router.add_post("/v1/batch-jobs", self._submit)
        router.add_get("/v1/batch-jobs", self._list)
        router.add_get("/v1/batch-jobs/{id}", self._show)
        router.add_delete("/v1/batch-jobs/{id}", self._cancel)

    async def _apply_catalog(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        model = await api.read_json(
            req, models.CatalogModel, self._limits.ticket_bytes
        )
        catalog = models.to_catalog(model)
        result = await self._client.apply_catalog(catalog, LEADER_TIMEOUT_MS)
        return api.json_response(result)

    async def _show_catalog(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        view = await self._client.catalog(LEADER_TIMEOUT_MS)
        return api.json_response(
            {
                "version": view.version,
                "queues": view.queues,
                "accounts": view.accounts,
            }
        )

    async def _submit(self, req: web.Request) -> web.Response:
        rights_lib.require_token(req)
        model = await api.read_json(
            req, models.BatchJobModel, self._limits.body_bytes
        )
        address = await self._address(req, model.queue, model.id)
        accepted = await self._client.submit(
            address, models.to_content(model), LEADER_TIMEOUT_MS
        )
        return api.json_response(accepted)

    async def _list(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        return api.json_response(
            await self._client.list_jobs(LEADER_TIMEOUT_MS)
        )

    async def _show(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        view = await self._client.show(req.match_info["id"], LEADER_TIMEOUT_MS)
        return api.json_response(view)

    async def _cancel(self, req: web.Request) -> web.Response:
        rights_lib.require_token(req)
        queue = req.query.get("queue", "")
        address = await self._address(req, queue, req.match_info["id"])
        return api.json_response(
            await self._client.cancel(address, LEADER_TIMEOUT_MS)
        )

    async def _address(
        self, req: web.Request, queue_name: str, job_id: str
    ) -> catalog_model.Address:
        view = await self._client.catalog(LEADER_TIMEOUT_MS)
        for queue in view.queues:
            if queue.name == queue_name:
                return catalog_model.Address(
                    host=queue.host,
                    path=queue.path_prefix + job_id,
                    key=req.headers.get(KEY_HEADER, ""),
                )
        raise errors.NotFound(
            f"there is no queue {queue_name!r}",
            remedy="Check the name; `bilberryroute catalog show` lists them.",
        )
