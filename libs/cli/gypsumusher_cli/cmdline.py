"""Entry point of the gypsumusher program: its commands and exit codes."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from gypsumusher_cli.config_commands import (
    ConfigHistory,
    ConfigPatch,
    ConfigShow,
    ConfigValidate,
)
from gypsumusher_cli.drain_commands import DrainEndpoint, DrainHost
from gypsumusher_cli.errors import EXIT_FAILED, EXIT_USAGE
from gypsumusher_cli.load_commands import LoadCompare, LoadRunCommand
from gypsumusher_cli.losses_commands import LossesCommand
from gypsumusher_cli.notices_commands import NoticesCommand
from gypsumusher_cli.retries_commands import RetriesCommand
from gypsumusher_cli.status_commands import Explain, Key, Status
from gypsumusher_cli.trace_commands import TraceCommand

PROGRAM = "gypsumusher"
VERSION = "0.1.0"
COMMANDS = (
    ConfigShow,
    ConfigValidate,
    ConfigPatch,
    ConfigHistory,
    Status,
    DrainHost,
    DrainEndpoint,
    Explain,
    Key,
    TraceCommand,
    LossesCommand,
    RetriesCommand,
    NoticesCommand,
    LoadRunCommand,
    LoadCompare,
)


def build_application():
    """Return the cleo application with all commands."""
    application = Application(PROGRAM, VERSION)
    for command in COMMANDS:
        application.add(command())
    application.auto_exits(False)
    application.catch_exceptions(False)
    return application


def run(arguments):
    """Run one command line.

    Parameters
    ----------
    arguments : list of str
        The arguments without the program's name.

    Returns
    -------
    int
        The exit code: 0 on success, 2 for invalid input, else 1.
    """
    application = build_application()
    try:
        return application.run(ArgvInput([PROGRAM, *arguments]))
    except CleoError as error:
        words = " ".join(str(error).split())
        print(f"{PROGRAM}: {words}; see `{PROGRAM} list`", file=sys.stderr)
        return EXIT_USAGE
    except Exception as error:
        kind = type(error).__name__
        words = " ".join(str(error).split())
        print(f"{PROGRAM}: unexpected {kind}: {words}; please report", file=sys.stderr)
        return EXIT_FAILED


def main():
    """Run the process's command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))
