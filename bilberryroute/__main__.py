"""Entry point of `python -m bilberryroute` and of the console script."""

import sys


def main() -> int:
    """Runs the program with the arguments of this process."""
    from bilberryroute import context
    from bilberryroute import core

    return core.main(sys.argv[1:], context.Environment())


if __name__ == "__main__":
    sys.exit(main())
