"""The trace command: shows one request's log lines of all hosts in order of time."""

import json

from cleo.helpers import argument

from gypsumusher_cli.command_base import JSON_OPTION, ToolCommand, read_lines
from gypsumusher_cli.errors import CommandError
from gypsumusher_cli.trace import build_trace, format_trace

__all__ = ["TraceCommand"]


class TraceCommand(ToolCommand):
    """Merges the log lines of one request and explains its outcome."""

    name = "trace"
    description = (
        "Show a request's events from the hosts' logs, and the cause of its outcome."
    )
    arguments = [
        argument("request-id", "The request id, from the caller or from a log."),
        argument("files", "Log files of the hosts, in any order.", multiple=True),
    ]
    options = [JSON_OPTION]

    async def run_command(self):
        """Read the log files and print the trace."""
        lines = read_lines(self.argument("files"))
        trace = build_trace(self.argument("request-id"), lines)
        if not trace.lines:
            raise CommandError(
                f"no log line has the id {trace.request_id}",
                "add the logs of the other hosts, or earlier log files",
            )
        if self.option("json"):
            self.print_line(json.dumps(trace._asdict(), indent=2))
            return
        self.print_line(format_trace(trace))
