"""The command that tells a request's story from the hosts' logs."""

import json

from cleo.helpers import argument

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.errors import CommandError
from gypsumusher_cli.trace import format_trace, join_trace

__all__ = ["TraceCommand"]


class TraceCommand(ToolCommand):
    """Joins the log lines of one request and names its cause."""

    name = "trace"
    description = "Tell a request's story from the hosts' logs, with its cause."
    arguments = [
        argument("request-id", "As the caller or the logs give it."),
        argument("files", "Logs of the hosts, in any order.", multiple=True),
    ]
    options = [JSON_OPTION]

    async def operate(self):
        """Read the files and print the story."""
        lines = read_lines(self.argument("files"))
        trace = join_trace(self.argument("request-id"), lines)
        if not trace.lines:
            raise CommandError(
                f"no line bears the id {trace.request_id}",
                "add the logs of the other hosts, or an earlier piece of them",
            )
        if self.option("json"):
            self.say(json.dumps(trace._asdict(), indent=2))
            return
        self.say(format_trace(trace))
