"""Validated request models of catalogs and batch jobs."""

import collections
from typing import Annotated

import msgspec

from bilberryroute import errors
from bilberryroute.entry import operator_models as models
from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model

Amount = Annotated[int, msgspec.Meta(ge=0, le=models.MAX_COUNT * 1_000)]
Text = Annotated[str, msgspec.Meta(max_length=4_096)]


class NeedModel(models.Model):
    """See `batch.Resources`."""

    cpu_millis: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0


class StepModel(models.Model):
    """See `batch.Step`."""

    count: models.Count
    need: NeedModel = NeedModel()
    estimate_ms: Amount = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit: Amount = 0
    long_running: bool = False


class ScheduleModel(models.Model):
    """See `batch.Schedule`."""

    count: models.Count
    first_ms: Amount
    interval_ms: Amount


class BatchJobModel(models.Model):
    """A batch job and the name of its queue."""

    queue: models.Name
    id: models.Name
    steps: Annotated[tuple[StepModel, ...], msgspec.Meta(min_length=1)]
    payload: Text = ""
    schedule: ScheduleModel | None = None


class QueueModel(models.Model):
    """See `catalog_model.Queue`."""

    name: models.Name
    host: str
    path_prefix: Annotated[str, msgspec.Meta(pattern=r"\A/(.*/)?\Z")]
    pool: models.Name
    priority: Amount = 0
    max_attempts: models.Count = 1
    slack_factor: float = 1.0
    target_ms: Amount = 0
    timeout_ms: models.Duration = 3_000
    open: bool = False


class BatchAccountModel(models.Model):
    """See `catalog_model.BatchAccount`."""

    name: models.Name
    keys: tuple[str, ...] = ()
    guaranteed: Amount = 0


class CatalogModel(models.Model):
    """A version of the catalog with all its queues and accounts."""

    version: Annotated[int, msgspec.Meta(ge=1, le=models.MAX_NUMBER)]
    queues: tuple[QueueModel, ...] = ()
    accounts: tuple[BatchAccountModel, ...] = ()


def to_content(model: BatchJobModel) -> batch.Content:
    """Converts a batch job to its content.

    Raises:
      errors.MalformedInput: If a step depends on a step that does not precede
        it.
    """
    for number, step in enumerate(model.steps):
        if any(not 0 <= dependency < number for dependency in step.depends_on):
            raise errors.MalformedInput(
                f"step {number} depends on a step that does not precede it"
            )
    return msgspec.convert(
        {
            "payload": model.payload,
            "steps": msgspec.to_builtins(model.steps),
            "schedule": msgspec.to_builtins(model.schedule),
        },
        batch.Content,
    )


def to_catalog(model: CatalogModel) -> catalog_model.Catalog:
    """Converts and checks a catalog.

    Raises:
      errors.MalformedInput: If two queues share host and path prefix, or two
        accounts share a key.
    """
    prefix_counts = collections.Counter(
        (q.host, q.path_prefix) for q in model.queues
    )
    keys = collections.Counter(k for a in model.accounts for k in set(a.keys))
    if any(count > 1 for count in prefix_counts.values()):
        raise errors.MalformedInput("two queues share host and path prefix")
    if any(count > 1 for count in keys.values()):
        raise errors.MalformedInput("two client accounts share a key")
    fields = msgspec.to_builtins(model)
    return msgspec.convert(
        fields | {"document": msgspec.json.encode(model)},
        catalog_model.Catalog,
    )
