"""Refers processes that ask a host without a replica to the leader.

A host without a disk can't keep a replica, but may be listed among the hosts
at which other processes look for one. It follows the leader like an entry and
answers what a replica that does not lead would answer.
"""

from collections.abc import AsyncIterator

import grpc
import mode
from aiohttp import web

from bilberryroute import context
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import greeting
from bilberryroute.consensus import records
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import control as control_lib
from bilberryroute.model import control
from bilberryroute.model import wire
from bilberryroute.transport import codec
from bilberryroute.transport import control as methods
from bilberryroute.transport import datagrams

GRPC_STOP_SECONDS = 1.0
_SERVER_OPTIONS = (("grpc.so_reuseport", 0),)

_renewal_decoder = codec.Decoder(wire.Renewal)


class ReferralRole(mode.Service):
    """Answers entries, agents and joining replicas with the leader's address.

    Attributes:
      board: What the control client knows of the leader.
      control: Client of the leader, which the operators' API shares.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._cfg = cfg
        self._metrics = metrics
        self.board = board_lib.new_board()
        self.control = control_lib.ControlClient(
            cfg, self.board, env.clock, env.rng, metrics
        )
        self._server: grpc.aio.Server | None = None
        self._socket = datagrams.DatagramSocket(self._on_renewal, metrics)

    async def on_start(self) -> None:
        """Opens the replica's ports and follows the leader."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers(self._handlers())
        self._server.add_insecure_port(self._cfg.listen.grpc)
        await self._server.start()
        ip, port = self._cfg.listen.datagram.rsplit(":", 1)
        await self._socket.open((ip, int(port)))
        await self.add_runtime_dependency(self.control)

    async def on_stop(self) -> None:
        """Closes the ports."""
        self._socket.close()
        if self._server is not None:
            await self._server.stop(GRPC_STOP_SECONDS)

    def register(self, app: web.Application) -> None:
        """Adds no routes: this role serves only health and metrics by HTTP."""

    def ready(self) -> bool:
        """Returns whether the leader is known."""
        return bool(self.board.leader_id.get())

    async def drain(self) -> None:
        """Returns at once, as every call is answered immediately."""

    def position(self) -> logs.Position:
        """Returns the term and revision that this process has seen."""
        return logs.Position(
            term=self.board.term.get(),
            revision=self.board.configuration.get().revision,
        )

    def _on_renewal(self, payload: bytes, address: tuple[str, int]) -> None:
        reply = self.redirect(payload)
        if reply is not None:
            self._socket.send(reply, address)

    def redirect(self, payload: bytes) -> bytes | None:
        """Returns a grant without a lease that names the leader, or None."""
        try:
            renewal = _renewal_decoder.decode(payload)
        except errors.MalformedInput:
            self._metrics.dropped("malformed_renewal")
            return None
        replicas = self.board.replicas.get()
        grant = wire.Grant(
            term=self.board.term.get(),
            echo_ms=renewal.sent_ms,
            lease_ms=0,
            leader_id=self.board.leader_id.get(),
            replicas={r.id: r.datagram for r in replicas if r.datagram},
            desired=None,
        )
        return codec.encode(grant)

    def _leader(self) -> errors.NotLeader:
        """Returns the refusal that names the leader, as far as known."""
        leader_id = self.board.leader_id.get()
        addresses = {r.id: r.grpc for r in self.board.replicas.get()}
        return errors.NotLeader(leader_id or None, addresses.get(leader_id, ""))

    def _learn(self, hello: greeting.Hello) -> None:
        """Records a replica that belongs to the group."""
        if not hello.group:
            return
        contact = wire.ReplicaContact(
            id=records.replica_id(hello.id),
            grpc=hello.grpc,
            datagram=hello.datagram,
        )
        self.control.learn_replica(contact.id, contact.grpc)
        replicas = self.board.replicas.get()
        if contact not in replicas:
            others = tuple(r for r in replicas if r.id != contact.id)
            self.board.replicas.set((*others, contact))

    def _handlers(self) -> tuple[grpc.GenericRpcHandler, ...]:
        unary = grpc.unary_unary_rpc_method_handler(self._refuse)
        names = (methods.PROPOSE, methods.QUERY, methods.CHANGE_MEMBERS)
        rpcs = dict.fromkeys(names, unary)
        rpcs[methods.WATCH] = grpc.stream_stream_rpc_method_handler(self._watch)
        hello = grpc.unary_unary_rpc_method_handler(self._hello)
        return (
            grpc.method_handlers_generic_handler(methods.SERVICE, rpcs),
            grpc.method_handlers_generic_handler(
                greeting.SERVICE, {greeting.METHOD: hello}
            ),
        )

    async def _refuse(
        self, payload: bytes, context: grpc.aio.ServicerContext
    ) -> bytes:
        del payload, context
        return codec.encode(control.Reply(error=self._error()))

    def _error(self) -> control.ErrorReply:
        exc = self._leader()
        return control.ErrorReply(
            kind=exc.kind,
            message=exc.message,
            remedy=exc.remedy,
            leader_id=exc.leader_id or "",
            leader_address=exc.leader_address,
        )

    async def _watch(
        self,
        requests: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[bytes]:
        """Ends the stream at once and names the leader, which has the news."""
        del requests
        await methods.end_watch(context, self._error())
        yield b""  # Never reached; makes this a generator, as gRPC expects.

    async def _hello(
        self, payload: bytes, context: grpc.aio.ServicerContext
    ) -> bytes:
        """Names the leader; the empty identity never counts as a founder."""
        del context
        self._learn(greeting.decode(payload))
        hello = greeting.Hello(
            id="",
            group="",
            grpc=self._cfg.listen.grpc,
            datagram=self._cfg.listen.datagram,
            failure_domain=self._cfg.failure_domain,
            leader=self._leader().leader_address,
        )
        return codec.encode(hello)
