"""Runs a daemon's services, and stops them gracefully.

Imported only once the process has opened what others wait for; see `cli.run`.
"""

import asyncio
import contextlib
import gc
import logging
import os
import signal
import types
from collections.abc import Iterator

import mode

from bilberryroute import context
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import settings
from bilberryroute import status
from bilberryroute.platform import settings as platform_settings

_SIGNALS = (signal.SIGTERM, signal.SIGINT)

# Where OpenSSL looks for trusted certificates.
_CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")

_log = logging.getLogger(__name__)


def run_until_stopped(
    cfg: settings.Settings,
    env: context.Environment,
    place: platform_settings.PlatformSettings | None,
) -> status.ExitStatus:
    """Runs one process until a signal or a failure stops it.

    Raises:
      errors.SettingsError: If the settings cannot be used.
      errors.BilberryrouteError: If a service fails.
    """
    mode.Service.mundane_level = "debug"
    queued = logs.configure(
        stream=env.stderr if place is None else env.stdout,
        level=cfg.log_level,
        role="+".join(cfg.roles),
        host=cfg.host,
        failure_domain=cfg.failure_domain,
        in_background=place is not None,
    )
    try:
        return asyncio.run(_serve(cfg, env, place, queued))
    except errors.BilberryrouteError:
        raise
    except Exception as exc:
        raise _as_typed_error(exc) from exc
    finally:
        logs.flush()


async def _serve(
    cfg: settings.Settings,
    env: context.Environment,
    place: platform_settings.PlatformSettings | None,
    queued: logs.BoundedQueueHandler | None = None,
) -> status.ExitStatus:
    process = load_process()
    with _signals() as signals:
        service = process.build(cfg, env, place)
        if queued is not None:
            service.metrics.refresh_with(
                lambda m: m.log_lines_dropped.set({}, queued.dropped)
            )
        # Objects built at start-up are kept, so later collections skip them.
        gc.collect()
        gc.freeze()
        logs.set_position_source(service.position)
        await _start(service)
        _log.info("started", extra={"http": cfg.listen.http})
        try:
            await _wait_for_first(service.wait_until_stopped(), signals.get())
            if service.crash_reason is None:
                _log.info("draining")
                # A second signal ends the wait.
                await _wait_for_first(service.drain(), signals.get())
        finally:
            await service.stop()
    if service.crash_reason is not None:
        raise _as_typed_error(service.crash_reason)
    _log.info("stopped")
    return status.ExitStatus.SUCCESS


def load_process() -> types.ModuleType:
    """Imports `process`, late, as only a daemon needs it.

    `aiohttp` reads all trusted certificates when it is imported, a sixth of a
    role's start. No role speaks TLS.
    """
    with _without_certificates():
        from bilberryroute import process
    return process


@contextlib.contextmanager
def _without_certificates() -> Iterator[None]:
    before = {name: os.environ.get(name) for name in _CERTIFICATE_VARIABLES}
    os.environ.update(dict.fromkeys(_CERTIFICATE_VARIABLES, os.devnull))
    try:
        yield
    finally:
        for name, value in before.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


async def _start(service: mode.Service) -> None:
    try:
        await service.start()
    except OSError as exc:
        await service.stop()
        raise errors.CannotListen(f"cannot start: {exc}") from exc


@contextlib.contextmanager
def _signals():
    """Yields a queue of the signals that ask the process to stop."""
    loop = asyncio.get_running_loop()
    received: asyncio.Queue[signal.Signals] = asyncio.Queue()
    for each in _SIGNALS:
        loop.add_signal_handler(each, received.put_nowait, each)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    try:
        yield received
    finally:
        for each in (*_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(each)


def _note_reload() -> None:
    """Logs a SIGHUP; settings but the seeds are only read at start."""
    _log.info("the settings changed; all but the seeds apply at the next start")


async def _wait_for_first(*coroutines) -> None:
    """Waits for the first coroutine to end and cancels the others."""
    tasks = [asyncio.ensure_future(each) for each in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _as_typed_error(exc: BaseException) -> errors.BilberryrouteError:
    if isinstance(exc, errors.BilberryrouteError):
        return exc
    _log.error("service failed", exc_info=exc)
    return errors.BilberryrouteError(f"a service failed: {exc!r}")
