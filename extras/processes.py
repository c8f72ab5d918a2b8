"""Child processes of the demo and of the process-level tests."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Mapping

from bilberryroute import clock as clock_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLL_MS = 20
STOP_MS = 20_000


class Child:
    """One process with its own log file.

    Attributes:
      name: Name in messages and of the log file.
      args: Arguments after the interpreter.
      log: File with all that the process has printed.
    """

    def __init__(
        self,
        name: str,
        args: list[str],
        folder: pathlib.Path,
        variables: Mapping[str, str] | None = None,
    ):
        """Names a process; does not start it.

        Args:
          name: Name of the process.
          args: Arguments after the interpreter.
          folder: Folder of the log file.
          variables: Environment variables beside those of this process.
        """
        self.name = name
        self.args = args
        self.log = folder / f"{name}.log"
        self._variables = dict(variables or {})
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Returns the process id of the present run."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process, again if it has ended."""
        environment = os.environ | {"PYTHONPATH": str(ROOT)} | self._variables
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self.args],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=ROOT,
            )

    def running(self) -> bool:
        """Returns whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code of the last run, or None if it goes on."""
        return self._process.poll()

    def kill(self) -> None:
        """Kills the process, without a chance to clean up."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def freeze(self) -> None:
        """Suspends the process by SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Sends SIGTERM."""
        self._signal(signal.SIGTERM)

    async def ended(self, timeout_ms: int = STOP_MS) -> int | None:
        """Returns the exit code, or None if it is still running."""
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1_000
        while self.running():
            if asyncio.get_running_loop().time() > deadline:
                return None
            await asyncio.sleep(clock_lib.seconds(POLL_MS))
        return self._process.returncode

    def _signal(self, number: signal.Signals) -> None:
        if self.running():
            self._process.send_signal(number)


async def stop_all(children: list[Child]) -> list[str]:
    """Stops processes gracefully; returns what went wrong."""
    asked = [child for child in children if child.running()]
    for child in asked:
        child.resume()
        child.terminate()
    codes = await asyncio.gather(*(child.ended() for child in asked))
    wrong = []
    for child, code in zip(asked, codes, strict=True):
        if code is None:
            child.kill()
            wrong.append(f"{child.name} did not stop in {STOP_MS} ms")
        elif code != 0:
            wrong.append(f"{child.name} ended with exit code {code}")
    return wrong


def kill_all(children: list[Child]) -> None:
    """Kills all processes."""
    for child in children:
        if child.running():
            child.kill()
