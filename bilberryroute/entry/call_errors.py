"""Errors of calls to replicas."""

import grpc

from bilberryroute import errors
from bilberryroute.entry import tries as tries_lib
from bilberryroute.model import control


def from_rpc(exc: grpc.aio.AioRpcError) -> errors.BilberryrouteError:
    """Maps a gRPC error according to whether the call may have been executed."""
    match failure(exc):
        case tries_lib.UNSERVED:
            return errors.Unavailable(
                "the replica does not serve this call yet"
            )
        case tries_lib.UNREACHED:
            return errors.Unavailable("the replica cannot be reached")
        case tries_lib.TOO_LARGE:
            # It would not get through in the next try either.
            return errors.TooLarge(
                "the call or its answer exceeds what a channel carries"
            )
    return errors.CommitUnknown(f"the replica did not answer: {exc.code()}")


def failure(exc: grpc.aio.AioRpcError) -> str:
    """Returns how a call without a reply failed, as `tries.Try` says it."""
    match exc.code():
        case grpc.StatusCode.UNIMPLEMENTED:
            return tries_lib.UNSERVED
        case grpc.StatusCode.RESOURCE_EXHAUSTED:
            return tries_lib.TOO_LARGE
        case grpc.StatusCode.DEADLINE_EXCEEDED:
            return tries_lib.SILENT
        case grpc.StatusCode.UNAVAILABLE if _never_sent(exc):
            return tries_lib.UNREACHED
    return tries_lib.BROKEN


def _never_sent(exc: grpc.aio.AioRpcError) -> bool:
    return "failed to connect" in (exc.details() or "").lower()


def from_reply(reply: control.ErrorReply) -> errors.BilberryrouteError:
    """Returns the error that a replica replied."""
    if reply.kind == errors.NotLeader.kind:
        return errors.NotLeader(reply.leader_id or None, reply.leader_address)
    kind = errors.by_kind(reply.kind)
    return kind(
        reply.message, remedy=reply.remedy, retry_after_ms=reply.retry_after_ms
    )
