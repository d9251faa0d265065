"""The one family of errors that a user of the tool can cause, with their exit codes."""

from typing import NamedTuple

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class CommandError(Exception):
    """A command can't do what was asked; the message says what and how to mend it.

    Parameters
    ----------
    problem : str
        What is wrong, naming the argument, file or key and the value seen.
    mend : str
        What to do about it.
    """

    exit_code = EXIT_FAILED

    def __init__(self, problem, mend=""):
        super().__init__(problem)
        self.problem = problem
        self.mend = mend

    def __str__(self):
        """Return the problem and its mend as one line."""
        return f"{self.problem}; {self.mend}" if self.mend else self.problem


class InputError(CommandError):
    """What the user typed, or a file that it names, can't be used as it is."""

    exit_code = EXIT_USAGE


class FileProblem(NamedTuple):
    """One thing that is wrong in a checked file, and how to mend it."""

    path: str
    problem: str
    mend: str


def raise_problems(source, problems):
    """Raise one error that lists all problems found in a file.

    Parameters
    ----------
    source : str
        The file's name.
    problems : list of FileProblem
        What was found; nothing is raised when it is empty.

    Raises
    ------
    InputError
        If there is at least one problem.
    """
    if not problems:
        return
    lines = [f"  {item.path}: {item.problem}; {item.mend}" for item in problems]
    raise InputError("\n".join([f"{source} can't be used:", *lines]))
