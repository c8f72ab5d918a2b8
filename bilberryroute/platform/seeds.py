"""Watches the platform's settings file for changes of the seeds."""

import operator
from collections.abc import Callable
from collections.abc import Iterable

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.platform import settings as platform_settings

READ_INTERVAL_MS = clock_lib.Millis(1_000)

Address = Callable[[settings.ReplicaAddress], str]


class SeedWatcher(mode.Service):
    """Reports the seeds whenever those in the file change.

    The platform may replace the file at any time, with or without a signal.
    """

    def __init__(
        self,
        place: platform_settings.PlatformSettings,
        on_change: Callable[[Iterable[str]], None],
        address: Address = operator.attrgetter("grpc"),
    ):
        """Initializes the watcher.

        Args:
          place: The settings read at start.
          on_change: Called with the addresses of all seeds.
          address: Returns the address of a seed to report.
        """
        super().__init__()
        self._path = place.path
        self._role = place.settings.roles[0]
        self._address = address
        self._known = self._addresses(place)
        self._on_change = on_change

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(READ_INTERVAL_MS))
            self.check()

    def check(self) -> None:
        """Reads the file once and reports the seeds if they changed."""
        try:
            place = platform_settings.load(self._path, self._role)
        except errors.SettingsError as exc:
            self.log.warning("seeds are unchanged: %s", exc)
            return
        addresses = self._addresses(place)
        if addresses != self._known:
            self._known = addresses
            self.log.info("seeds changed", extra={"seeds": sorted(addresses)})
            self._on_change(addresses)

    def _addresses(
        self, place: platform_settings.PlatformSettings
    ) -> frozenset[str]:
        return frozenset(map(self._address, place.settings.replicas))
