"""What all commands share: their access options, and errors as one clear message."""

import asyncio
import os
import urllib.parse

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type
from returns.result import Failure, Success

from gypsumusher_cli.access import find_access, require_operators
from gypsumusher_cli.client import OperatorsClient
from gypsumusher_cli.errors import EXIT_FAILED, EXIT_OK, CommandError, InputError

HTTP_OK = 200
HTTP_UNAUTHORIZED = (401, 403)

ACCESS_OPTIONS = [
    option("operators", None, "Operators' addresses, IP:PORT[,IP:PORT].", flag=False),
    option("token", None, "Operators' token; the environment hides it.", flag=False),
    option("access", None, "YAML file with operators, token, callers.", flag=False),
]
JSON_OPTION = option("json", None, "Print JSON instead of a table.")


class ToolCommand(Command):
    """A command whose errors end in one message and the right exit code."""

    def handle(self):
        """Run the command and return its exit code."""
        try:
            asyncio.run(self.operate())
        except CommandError as error:
            self.line_error(f"gypsumusher: {error}")
            return error.exit_code
        except KeyboardInterrupt:
            self.line_error("gypsumusher: interrupted")
            return EXIT_FAILED
        except Exception as error:
            # A fault of the tool itself: an operator gets a line to report, and the
            # screen keeps what led to it.
            kind = type(error).__name__
            self.line_error(f"gypsumusher: unexpected {kind}: {error}; please report")
            return EXIT_FAILED
        return EXIT_OK

    async def operate(self):
        """Do the command's work.

        Raises
        ------
        CommandError
            If it can't be done.
        """
        raise NotImplementedError

    def access(self):
        """Return the access that options, environment and file give."""
        names = ("operators", "token", "access", "callers")
        typed = {
            name: self.option(name)
            for name in names
            if self.definition.has_option(name)
        }
        return find_access(typed, os.environ)

    def say(self, text):
        """Print plain text, in which angle brackets mean nothing."""
        self.io.output.write(text + "\n", type=Type.RAW)

    def line_error(self, text, style=None, verbosity=None):
        """Print plain text to the error output."""
        self.io.error_output.write(text + "\n", type=Type.RAW)


class OperatorsCommand(ToolCommand):
    """A command that calls the operators' API."""

    async def operate(self):
        """Open a client, do the work with it, and close it."""
        access = self.access()
        require_operators(access)
        client = OperatorsClient(access)
        await client.start()
        try:
            await self.operate_with(client)
        finally:
            await client.close()

    async def operate_with(self, client):
        """Do the command's work with an open client."""
        raise NotImplementedError


def unwrap(result):
    """Return a call's answer, whatever its status.

    Raises
    ------
    CommandError
        If there was no answer, or the token was refused.
    """
    if isinstance(result, Failure):
        error = result.failure()
        effect = "it may have taken effect" if error.sent else "it had no effect"
        raise CommandError(
            f"{error.step} to {error.peer} failed ({error.detail}); {effect}",
            "check the address and that the host runs, or name another host",
        )
    answer = result.unwrap()
    if answer.status in HTTP_UNAUTHORIZED:
        raise InputError(
            f"{answer.peer} refused the token", "give the token of its settings"
        )
    return answer


def require_ok_body(answer):
    """Return the body of an answer that must be 200.

    Raises
    ------
    CommandError
        If the host answered with an error.
    """
    if answer.status == HTTP_OK:
        return answer.body
    raise CommandError(f"{answer.peer} answered {describe_error(answer)}")


def describe_error(answer):
    """Return an error answer as words: status, code and message."""
    error = answer.body.get("error")
    if not isinstance(error, dict):
        return f"status {answer.status}"
    words = [f"status {answer.status}", str(error.get("code", "")), ""]
    if error.get("message"):
        words[2] = f"({error['message']})"
    return " ".join(word for word in words if word)


async def read_statuses(client, addresses):
    """Return the statuses of those hosts that answer."""
    statuses = []
    for address in addresses:
        result = await client.call_at(address, "GET", "/admin/status")
        if not isinstance(result, Success):
            continue
        if result.unwrap().status == HTTP_OK:
            statuses.append(result.unwrap().body)
    return statuses


def quoted(name):
    """Return a name as one part of a URL's path."""
    return urllib.parse.quote(name, safe="")


def read_lines(paths):
    """Return the lines of several files.

    Raises
    ------
    InputError
        If a file can't be read.
    """
    lines = []
    for path in paths:
        try:
            with open(path, errors="replace") as file:
                lines += file.read().splitlines()
        except OSError as error:
            raise InputError(f"{path}: {error.strerror}", "name a log") from error
    return lines
