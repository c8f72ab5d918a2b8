"""Which optional decisions the planner of batch jobs takes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Optional decisions; `settings.Batch` says what each one does."""

    learn_speeds: bool = False
    forecast_tails: bool = False
    order_by_value: bool = False
    weigh_stops: bool = False
    refuse_hopeless: bool = False
    keep_apart: bool = False
    pack_racks: bool = False


DEFAULT = Policy()
