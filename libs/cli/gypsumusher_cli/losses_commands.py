"""The command that tells which requests were lost or late, and why."""

import json

from cleo.helpers import argument

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.losses import find_losses, format_losses

__all__ = ["LossesCommand"]


class LossesCommand(ToolCommand):
    """Counts lost and late requests by kind and cause."""

    name = "losses"
    description = "Tell from the hosts' logs which requests were lost or late, and why."
    arguments = [argument("files", "Logs of the hosts, in any order.", multiple=True)]
    options = [JSON_OPTION]

    async def operate(self):
        """Read the files and print the table."""
        losses = find_losses(read_lines(self.argument("files")))
        if self.option("json"):
            for loss in losses:
                self.say(json.dumps(loss._asdict()))
            return
        self.say(format_losses(losses) if losses else "nothing was lost or late")
