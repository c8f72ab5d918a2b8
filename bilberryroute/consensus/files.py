"""File operations of the log storage; tests replace them to inject errors."""

import fcntl
import os
import pathlib

FOLDER_MODE = 0o700
FILE_MODE = 0o600


class Files:
    """Files of one folder; `lock` creates the folder if it does not exist."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(p.name for p in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        return (self.folder / name).read_bytes()

    def open_append(self, name: str) -> int:
        """Opens a file for appending, creating it if necessary."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(self.folder / name, flags, FILE_MODE)

    def lock(self, name: str) -> int:
        """Locks the folder for this process; returns a descriptor.

        Raises:
          BlockingIOError: If another process holds the lock.
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
        """Syncs a file's content to disk."""
        os.fsync(descriptor)

    def sync_folder(self) -> None:
        """Syncs created, renamed and removed file names to disk."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file of the new name."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        (self.folder / name).unlink(missing_ok=True)

    def close(self, descriptor: int) -> None:
        """Closes a descriptor."""
        os.close(descriptor)
