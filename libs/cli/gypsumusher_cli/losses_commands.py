"""The losses command: counts lost and late requests by route and cause."""

import json

from cleo.helpers import argument

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.losses import find_losses, format_losses

__all__ = ["LossesCommand"]


class LossesCommand(ToolCommand):
    """Counts lost and late requests by route and cause."""

    name = "losses"
    description = "Count lost and late requests by cause, from the hosts' logs."
    arguments = [
        argument("files", "Log files of the hosts, in any order.", multiple=True)
    ]
    options = [JSON_OPTION]

    async def run_command(self):
        """Read the log files and print the table."""
        losses = find_losses(read_lines(self.argument("files")))
        if self.option("json"):
            for loss in losses:
                self.print_line(json.dumps(loss._asdict()))
            return
        self.print_line(
            format_losses(losses) if losses else "no request was lost or late"
        )
