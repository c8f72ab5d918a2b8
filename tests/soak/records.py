"""What callers and operators of the soak have seen, for the verdict."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Outcome of one call to submit a job.

    `ACCEPTED`: 2xx. `REFUSED`: the answer says that the job never runs.
    `UNCLEAR`: no answer, or one that says nothing about the job.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@dataclasses.dataclass(slots=True, kw_only=True)
class JobRecord:
    """One job as its caller knows it.

    Attributes:
      job_id: Id that the caller chose.
      body: Submitted body.
      outcomes: Outcome of each call to submit it.
      completed_ms: When it was first shown as completed, or None.
      failed: Whether it was shown as failed or cancelled.
      gone: Answers that denied the job after it was accepted.
    """

    job_id: str
    body: dict
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    completed_ms: int | None = None
    failed: bool = False
    gone: int = 0

    @property
    def accepted(self) -> bool:
        """Returns whether the job was accepted."""
        return Outcome.ACCEPTED in self.outcomes

    @property
    def refused(self) -> bool:
        """Returns whether every call said that the job never runs."""
        return set(self.outcomes) == {Outcome.REFUSED}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRead:
    """Answer to a read of the configuration.

    Attributes:
      sent_ms: When the read was sent.
      version: Version that was read.
    """

    sent_ms: int
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigRecord:
    """Changes of the configuration, and what was read back.

    Attributes:
      acknowledged: When each version was acknowledged first.
      reads: Reads that were answered.
      final: Configuration at the end, or None without an answer.
      sent: Each configuration that was sent, by version.
    """

    acknowledged: dict[int, int] = dataclasses.field(default_factory=dict)
    reads: list[ConfigRead] = dataclasses.field(default_factory=list)
    final: dict | None = None
    sent: dict[int, dict] = dataclasses.field(default_factory=dict)
