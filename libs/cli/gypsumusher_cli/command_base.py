"""Base classes of the commands: access options, error reporting, calls of the API."""

import asyncio
import os
import urllib.parse

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type
from returns.result import Failure, Success

from gypsumusher_cli.access import require_operators, resolve_access
from gypsumusher_cli.client import OperatorsClient
from gypsumusher_cli.errors import EXIT_FAILED, EXIT_OK, CommandError, InputError

HTTP_OK = 200
HTTP_UNAUTHORIZED = (401, 403)

ACCESS_OPTIONS = [
    option("operators", None, "Operators' addresses, IP:PORT[,IP:PORT].", flag=False),
    option("token", None, "Operators' token; safer in the environment.", flag=False),
    option("access", None, "YAML file with operators, token, callers.", flag=False),
]
JSON_OPTION = option("json", None, "Print JSON instead of a table.")


class ToolCommand(Command):
    """A command that reports an error as one message and an exit code."""

    def handle(self):
        """Run the command and return its exit code."""
        try:
            asyncio.run(self.run_command())
        except CommandError as error:
            self.line_error(f"gypsumusher: {error}")
            return error.exit_code
        except KeyboardInterrupt:
            self.line_error("gypsumusher: interrupted")
            return EXIT_FAILED
        except Exception as error:
            # A bug in the tool: one line that the operator can report. A traceback
            # would push the preceding output off the screen.
            kind = type(error).__name__
            self.line_error(f"gypsumusher: unexpected {kind}: {error}; please report")
            return EXIT_FAILED
        return EXIT_OK

    async def run_command(self):
        """Run the command; subclasses implement it.

        Raises
        ------
        CommandError
            If the command can't do what was asked.
        """
        raise NotImplementedError

    def access_settings(self):
        """Return the access settings from options, environment and access file."""
        names = ("operators", "token", "access", "callers")
        typed = {
            name: self.option(name)
            for name in names
            if self.definition.has_option(name)
        }
        return resolve_access(typed, os.environ)

    def parse_number(self, name):
        """Return an option's value as a finite number of at least 0.

        Raises
        ------
        InputError
            When it is none.
        """
        value = self.option(name)
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0.0 <= number < float("inf"):
            raise InputError(f"--{name} is {value!r}", "give a number of at least 0")
        return number

    def print_line(self, text):
        """Print text to the output without interpreting cleo's ``<tag>`` markup."""
        self.io.output.write(text + "\n", type=Type.RAW)

    def line_error(self, text, style=None, verbosity=None):
        """Print text to the error output, also without interpreting markup.

        ``style`` and ``verbosity`` are those of the overridden method, and ignored.
        """
        self.io.error_output.write(text + "\n", type=Type.RAW)


class OperatorsCommand(ToolCommand):
    """A command that calls the operators' API."""

    async def run_command(self):
        """Open a client, run the command with it, and close it."""
        access = self.access_settings()
        require_operators(access)
        client = OperatorsClient(access)
        await client.start()
        try:
            await self.run_with_client(client)
        finally:
            await client.close()

    async def run_with_client(self, client):
        """Run the command with an open client; subclasses implement it."""
        raise NotImplementedError


def unwrap(result):
    """Return a call's response of any status, or raise the call's failure.

    Raises
    ------
    CommandError
        If there was no response.
    InputError
        If the host refused the token.
    """
    if isinstance(result, Failure):
        error = result.failure()
        effect = (
            "it may have taken effect" if error.request_sent else "it had no effect"
        )
        raise CommandError(
            f"{error.step} to {error.peer} failed ({error.detail}); {effect}",
            "check the address and that the host runs, or name another host",
        )
    response = result.unwrap()
    if response.status in HTTP_UNAUTHORIZED:
        raise InputError(
            f"{response.peer} refused the token",
            "give the operators' token of that host's settings",
        )
    return response


def require_ok_body(response):
    """Return a response's body, or raise an error when its status is not 200.

    Raises
    ------
    CommandError
        If the host responded with an error.
    """
    if response.status == HTTP_OK:
        return response.body
    raise CommandError(f"{response.peer} responded with {describe_error(response)}")


def describe_error(response):
    """Return an error response as text: status, code and message."""
    error = response.body.get("error")
    if not isinstance(error, dict):
        return f"status {response.status}"
    words = [f"status {response.status}", str(error.get("code", "")), ""]
    if error.get("message"):
        words[2] = f"({error['message']})"
    return " ".join(word for word in words if word)


async def fetch_statuses(client, addresses):
    """Return the status documents of the hosts that respond."""
    statuses = []
    for address in addresses:
        result = await client.call_host(address, "GET", "/admin/status")
        if not isinstance(result, Success):
            continue
        if result.unwrap().status == HTTP_OK:
            statuses.append(result.unwrap().body)
    return statuses


def quote_path_segment(name):
    """Return a name quoted as one segment of a URL's path."""
    return urllib.parse.quote(name, safe="")


def read_lines(paths):
    """Return the lines of several log files.

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
            raise InputError(
                f"{path} can't be read ({error.strerror})", "name a log file"
            ) from error
    return lines
