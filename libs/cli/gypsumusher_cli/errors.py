"""Errors that commands report to the user, with the exit code of each."""

from typing import NamedTuple

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class CommandError(Exception):
    """Raised when a command can't do what the user asked.

    Parameters
    ----------
    problem : str
        What is wrong, naming the argument, file or key and the value seen.
    hint : str
        What the user can do about it; empty when there is nothing to suggest.
    """

    exit_code = EXIT_FAILED

    def __init__(self, problem, hint=""):
        super().__init__(problem)
        self.problem = problem
        self.hint = hint

    def __str__(self):
        """Return the problem and the hint as one message."""
        return f"{self.problem}; {self.hint}" if self.hint else self.problem


class InputError(CommandError):
    """Raised for an invalid argument, option or input file."""

    exit_code = EXIT_USAGE


class FileProblem(NamedTuple):
    """One invalid key of an input file, and a hint on how to correct it."""

    path: str
    problem: str
    hint: str


def raise_if_problems(source, problems):
    """Raise one error that lists all problems of a file, if there are any.

    Parameters
    ----------
    source : str
        The file's name, for the message.
    problems : list of FileProblem
        The problems found; nothing is raised when the list is empty.

    Raises
    ------
    InputError
        If there is at least one problem.
    """
    if not problems:
        return
    lines = [f"  {item.path}: {item.problem}; {item.hint}" for item in problems]
    raise InputError("\n".join([f"{source} can't be used:", *lines]))
