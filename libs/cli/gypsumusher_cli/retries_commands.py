"""The retries command: compares the retries of all hosts with the permitted number."""

import json

from cleo.helpers import argument, option

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.retries import find_retries, format_retries

__all__ = ["RetriesCommand"]


class RetriesCommand(ToolCommand):
    """Finds the window in which a service came closest to its retry limit."""

    name = "retries"
    description = (
        "Compare the hosts' retries with the permitted number, from their logs."
    )
    arguments = [
        argument("files", "Log files of the hosts, in any order.", multiple=True)
    ]
    options = [
        option("ratio", None, "Repeats allowed per request.", flag=False, default=0.2),
        option(
            "slack",
            None,
            "Repeats allowed per window in addition.",
            flag=False,
            default=50,
        ),
        option(
            "window", None, "Length of the window in seconds.", flag=False, default=10
        ),
        JSON_OPTION,
    ]

    async def run_command(self):
        """Read the log files and print the worst window of each service."""
        bounds = [self.parse_number(name) for name in ("ratio", "slack", "window")]
        found = find_retries(read_lines(self.argument("files")), *bounds)
        if not self.option("json"):
            self.print_line(
                format_retries(found)
                if found
                else "the logs hold no requests or retries of a service"
            )
            return
        for item in found:
            hosts = [host._asdict() for host in item.hosts]
            self.print_line(json.dumps({**item._asdict(), "hosts": hosts}))
