"""The aiohttp application that the adapter's HTTP servers share."""

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
    """Answers 504 if a change may or may not have been made.

    The platform reads a 503 as proof that nothing was changed.
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
    """Returns an application that reports errors as the platform expects."""
    return web.Application(
        middlewares=[api.error_middleware(metrics), _unknown_outcomes],
        client_max_size=max_bytes,
    )
