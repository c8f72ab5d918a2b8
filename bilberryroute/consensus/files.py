"""File operations of the log's storage; tests inject failing ones."""

import fcntl
import os
import pathlib

FOLDER_MODE = 0o700
FILE_MODE = 0o600


class Files:
    """Files of one folder, which `lock` makes if need be."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(p.name for p in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        return (self.folder / name).read_bytes()

    def open_append(self, name: str) -> int:
        """Opens a file at its end, made if need be; returns a descriptor."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(self.folder / name, flags, FILE_MODE)

    def lock(self, name: str) -> int:
        """Takes the folder for this process; returns a descriptor.

        Raises:
          BlockingIOError: If another process holds it.
        """
        self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        descriptor = self.open_append(name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def write(self, descriptor: int, content: bytes) -> None:
        """Writes all of the content."""
        view = memoryview(content)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Makes a file's content durable."""
        os.fsync(descriptor)

    def sync_folder(self) -> None:
        """Makes the folder's names durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Gives a file a new name."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        (self.folder / name).unlink(missing_ok=True)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor."""
        os.close(descriptor)
