"""The notices command: what endpoints said of themselves, and what they then got."""

import json

from cleo.helpers import argument, option

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.notices import find_notices, format_notices

__all__ = ["NoticesCommand"]


class NoticesCommand(ToolCommand):
    """Finds requests to endpoints that had said that they leave or want none."""

    name = "notices"
    description = "List what endpoints said of themselves, and what they got after it."
    arguments = [
        argument("files", "Log files of the hosts, in any order.", multiple=True)
    ]
    options = [
        option(
            "drain",
            None,
            "Seconds after which a leaving endpoint gets no request that arrives.",
            flag=False,
            default=2,
        ),
        option(
            "grace",
            None,
            "Seconds within which requests may reach an endpoint that wants none.",
            flag=False,
            default=0.5,
        ),
        JSON_OPTION,
    ]

    async def run_command(self):
        """Read the log files and print the notices of each endpoint."""
        bounds = [self.parse_number(name) for name in ("drain", "grace")]
        found = find_notices(read_lines(self.argument("files")), *bounds)
        if self.option("json"):
            for item in found:
                self.print_line(json.dumps(item._asdict()))
            return
        self.print_line(
            format_notices(found) if found else "the logs hold no notices of endpoints"
        )
