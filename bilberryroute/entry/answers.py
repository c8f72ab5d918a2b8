"""Sends answers to callers: short ones at once, long ones by segments.

The agent keeps a long answer whole. The entry reads it a segment at a time,
over as many connections as it takes, and holds one segment in memory.
"""

from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute.entry import calls
from bilberryroute.entry import dispatching

SEGMENT_TIMEOUT_MS = 30 * clock_lib.SECOND


def new_response(answered: calls.Answered) -> web.StreamResponse:
    """Returns the response with the answer's status and headers."""
    reply = answered.reply
    headers = {}
    if reply.content_type:
        headers["Content-Type"] = reply.content_type
    if reply.content_encoding:
        headers["Content-Encoding"] = reply.content_encoding
    if reply.length == len(answered.body):
        return web.Response(
            body=answered.body, status=reply.status, headers=headers
        )
    headers["Content-Length"] = str(reply.length)
    return web.StreamResponse(status=reply.status, headers=headers)


class AnswerSender:
    """Sends what does not fit one segment."""

    def __init__(self, dispatcher: dispatching.Dispatcher):
        self._dispatcher = dispatcher

    async def send(
        self,
        req: web.Request,
        resp: web.StreamResponse,
        call: calls.Call,
        answered: calls.Answered,
    ) -> None:
        """Sends a long answer; cuts the connection if it cannot be whole."""
        if isinstance(resp, web.Response):
            return
        await resp.prepare(req)
        try:
            await self._send_segments(resp, call, answered)
        except calls.ReplyError as exc:
            self._dispatcher.metrics.failed(f"cut_{exc.reason}")
            if req.transport is not None:
                req.transport.abort()

    async def _send_segments(
        self,
        resp: web.StreamResponse,
        call: calls.Call,
        answered: calls.Answered,
    ) -> None:
        segment = answered.body
        sent = 0
        while True:
            await resp.write(segment)
            sent += len(segment)
            if sent >= answered.reply.length:
                return
            call.deadline = self._dispatcher.clock.now() + SEGMENT_TIMEOUT_MS
            segment = await self._dispatcher.agents.read_on(
                answered.address, answered.order, call, answered.reply, sent
            )
