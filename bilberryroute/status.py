"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit code of the program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    SETTINGS = 3
    REFUSED = 4
    NOT_RUN = 5
    UNKNOWN = 6
    UNAVAILABLE = 7
    CHECK_FAILED = 8
    INTERRUPTED = 130
