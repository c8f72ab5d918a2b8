"""Sends answers to callers: short ones at once, long ones in segments.

The agent keeps the whole of a long answer. The entry reads it one segment at a
time, over several connections if one fails, and buffers only one segment.
"""

from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute.entry import calls
from bilberryroute.entry import dispatching

SEGMENT_TIMEOUT_MS = 30 * clock_lib.SECOND


def new_response(answer: calls.CallAnswer) -> web.StreamResponse:
    """Returns a response with the answer's status and headers.

    A short answer yields a complete response, a long one a response whose
    body is still to be streamed.
    """
    reply = answer.reply
    headers = {}
    if reply.content_type:
        headers["Content-Type"] = reply.content_type
    if reply.content_encoding:
        headers["Content-Encoding"] = reply.content_encoding
    if reply.length == len(answer.body):
        return web.Response(
            body=answer.body, status=reply.status, headers=headers
        )
    headers["Content-Length"] = str(reply.length)
    return web.StreamResponse(status=reply.status, headers=headers)


class AnswerSender:
    """Streams answers that do not fit into one segment."""

    def __init__(self, dispatcher: dispatching.RequestDispatcher):
        self._dispatcher = dispatcher

    async def send(
        self,
        req: web.Request,
        resp: web.StreamResponse,
        call: calls.Call,
        answer: calls.CallAnswer,
    ) -> None:
        """Streams a long answer; aborts the connection if a segment is lost."""
        if isinstance(resp, web.Response):
            return
        await resp.prepare(req)
        try:
            await self._send_segments(resp, call, answer)
        except calls.ReplyError as exc:
            self._dispatcher.metrics.failed(f"cut_{exc.reason}")
            if req.transport is not None:
                req.transport.abort()

    async def _send_segments(
        self,
        resp: web.StreamResponse,
        call: calls.Call,
        answer: calls.CallAnswer,
    ) -> None:
        segment = answer.body
        sent_bytes = 0
        while True:
            await resp.write(segment)
            sent_bytes += len(segment)
            if sent_bytes >= answer.reply.length:
                return
            call.deadline = self._dispatcher.clock.now() + SEGMENT_TIMEOUT_MS
            segment = await self._dispatcher.agents.read_segment(
                answer.address, answer.dispatch, call, answer.reply, sent_bytes
            )
