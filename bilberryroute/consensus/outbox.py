"""Outputs of one step of the core, in order."""

from bilberryroute.consensus import messages


class Outbox:
    """Gathers outputs until they are taken."""

    def __init__(self):
        self._outputs: list[messages.Output] = []
        self._noted: messages.RoleChanged | None = None

    def emit(self, output: messages.Output) -> None:
        """Adds an output."""
        self._outputs.append(output)

    def emit_role(self, change: messages.RoleChanged) -> None:
        """Adds a change of role unless it is the one noted last."""
        if change != self._noted:
            self._noted = change
            self.emit(change)

    def drain(self) -> list[messages.Output]:
        """Takes all outputs."""
        outputs = self._outputs
        self._outputs = []
        return outputs
