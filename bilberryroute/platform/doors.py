"""What the HTTP servers towards the platform share."""

import http
import logging

from aiohttp import web

from bilberryroute import api
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib

logger = logging.getLogger(__name__)


@web.middleware
async def _unknown_outcomes(
    req: web.Request, handler: api.Handler
) -> web.StreamResponse:
    """Answers 504 where a change may or may not have been made.

    A 503 would tell the caller that its job never runs.
    """
    try:
        return await handler(req)
    except errors.CommitUnknown as exc:
        logger.info("outcome unknown: %s", exc, extra={"path": req.path})
        return web.json_response(
            {"detail": exc.message}, status=http.HTTPStatus.GATEWAY_TIMEOUT
        )


def new_application(
    metrics: metrics_lib.Metrics, max_bytes: int
) -> web.Application:
    """Returns an application whose errors leave as the platform reads them."""
    return web.Application(
        middlewares=[api.error_middleware(metrics), _unknown_outcomes],
        client_max_size=max_bytes,
    )
