"""Ordered outputs of one step of the Raft core."""

from bilberryroute.consensus import messages


class Outbox:
    """Buffers outputs until they are drained."""

    def __init__(self):
        self._outputs: list[messages.Output] = []
        self._last_change: messages.RoleChanged | None = None

    def emit(self, output: messages.Output) -> None:
        """Adds an output."""
        self._outputs.append(output)

    def emit_role(self, change: messages.RoleChanged) -> None:
        """Adds a role change unless it equals the previous one."""
        if change != self._last_change:
            self._last_change = change
            self.emit(change)

    def drain(self) -> list[messages.Output]:
        """Returns and clears the buffered outputs."""
        outputs = self._outputs
        self._outputs = []
        return outputs
