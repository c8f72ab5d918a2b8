"""Records of the request keys that an agent ran, refused or fenced.

Reads no clock and does no I/O. An answer is kept for the retention time of its
service; after that the key alone is kept for as long as it may be sent again,
so that it is never run as a new one.
"""

import dataclasses
import heapq

from bilberryroute.routing import protocol

BYTES_MAX = 64 * 1_024 * 1_024
RECORD_BYTES = 1_024


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """Record of one request key.

    Attributes:
      claimed: Whether the key belongs to a claim, which may be sent again, or
        is fenced.
      reply: Reply to an entry; its state is `RUNNING` until the run ends.
      body: The endpoint's complete answer.
      answer_until: Monotonic instant until which the answer is kept.
      key_until: Monotonic instant until which the key is kept.
    """

    reply: protocol.AgentReply
    claimed: bool = False
    body: bytes = b""
    answer_until: int = 0
    key_until: int = 0


class RequestRecordStore:
    """Records by key, bounded in bytes.

    Attributes:
      bytes: Size of the answers plus an estimate for the records.
      has_forgotten: Whether a claim's key was ever dropped. From then on a
        key without a record may have run before, unless it is known to be
        fresh.
    """

    def __init__(self, bytes_max: int = BYTES_MAX):
        self.bytes = 0
        self.has_forgotten = False
        self._bytes_max = bytes_max
        self._records: dict[str, RequestRecord] = {}
        self._due: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._records)

    def is_full(self) -> bool:
        """Returns whether no further request should be accepted."""
        return self.bytes >= self._bytes_max

    def get(self, key: str, now: int) -> RequestRecord | None:
        """Returns the record of a key, or None if it was never seen."""
        self.expire(now)
        return self._records.get(key)

    def start(self, key: str, *, claimed: bool) -> RequestRecord:
        """Records that the request of a key runs."""
        reply = protocol.AgentReply(
            key=key, state=protocol.RequestState.RUNNING
        )
        return self._add(key, RequestRecord(reply=reply, claimed=claimed))

    def fence(
        self, key: str, reply: protocol.AgentReply, until: int
    ) -> RequestRecord:
        """Records that a key must never run; keeps it like that of a claim."""
        self._add(key, RequestRecord(reply=reply, claimed=True))
        return self.end(key, reply, b"", answer_until=until, key_until=until)

    def extend_retention(
        self, record: RequestRecord, answer_until: int
    ) -> None:
        """Extends the retention of an answer that is being read."""
        record.answer_until = max(record.answer_until, answer_until)
        record.key_until = max(record.key_until, answer_until)

    def end(
        self,
        key: str,
        reply: protocol.AgentReply,
        body: bytes,
        *,
        answer_until: int,
        key_until: int,
    ) -> RequestRecord:
        """Records the result of a key, or that it is fenced."""
        record = self._records[key]
        record.reply = reply
        record.body = body
        record.answer_until = answer_until
        record.key_until = max(key_until, answer_until)
        self.bytes += len(body)
        heapq.heappush(self._due, (answer_until, key))
        return record

    def expire(self, now: int) -> None:
        """Drops answers, and later keys, whose retention has ended."""
        while self._due and self._due[0][0] <= now:
            _, key = heapq.heappop(self._due)
            self._expire_one(key, now)

    def _expire_one(self, key: str, now: int) -> None:
        record = self._records.get(key)
        if record is None:
            return
        if record.answer_until > now:
            heapq.heappush(self._due, (record.answer_until, key))
            return
        if record.key_until <= now:
            self._forget(key, record)
            return
        self._drop_answer(key, record)
        heapq.heappush(self._due, (record.key_until, key))

    def _add(self, key: str, record: RequestRecord) -> RequestRecord:
        self._records[key] = record
        self.bytes += RECORD_BYTES
        return record

    def _forget(self, key: str, record: RequestRecord) -> None:
        self.bytes -= len(record.body) + RECORD_BYTES
        self.has_forgotten |= record.claimed
        del self._records[key]

    def _drop_answer(self, key: str, record: RequestRecord) -> None:
        if record.reply.state is protocol.RequestState.NOT_RUN:
            return
        self.bytes -= len(record.body)
        record.body = b""
        record.reply = protocol.AgentReply(
            key=key,
            state=protocol.RequestState.EXPIRED,
            reason=protocol.Reason.EXPIRED,
        )
