"""The load commands: run a load, and compare two saved reports."""

import asyncio

from cleo.helpers import argument, option

from gypsumusher_cli.access import require_callers
from gypsumusher_cli.command_base import ACCESS_OPTIONS, ToolCommand
from gypsumusher_cli.errors import CommandError
from gypsumusher_cli.load_generator import LoadOptions, run_load
from gypsumusher_cli.load_report import (
    compare_reports,
    format_report,
    read_report,
    save_report,
    summarize,
)
from gypsumusher_cli.load_spec import read_load_spec


def format_progress(progress):
    """Return the progress of a running load as one line."""
    results = ", ".join(f"{name} {n}" for name, n in sorted(progress.results.items()))
    return (
        f"{progress.elapsed_s:5.1f} s: sent {progress.sent} of {progress.planned}, "
        f"running {progress.running}, {results or 'none ended'}"
    )


class LoadRunCommand(ToolCommand):
    """Sends a load and prints its report."""

    name = "load run"
    description = "Send the load that a file describes and print its report."
    arguments = [argument("file", "YAML file: streams, rates, shifts, classes.")]
    options = [
        option("callers", None, "Callers' addresses, IP:PORT[,IP:PORT].", flag=False),
        option("zone", None, "The callers' availability zone.", flag=False, default=""),
        option("save", None, "Also write the report to this file.", flag=False),
        option("no-progress", None, "Print the report only."),
        *ACCESS_OPTIONS,
    ]

    async def run_command(self):
        """Run the load; raise an error when a response was lost or wrong."""
        access = self.access_settings()
        require_callers(access)
        spec = read_load_spec(self.argument("file"))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcomes = await run_load(
            spec,
            LoadOptions(hosts=access.callers, zone=self.option("zone")),
            None if self.option("no-progress") else self._print_progress,
        )
        report = summarize(spec, outcomes, loop.time() - started_s)
        self.print_line(format_report(report))
        if self.option("save"):
            save_report(report, self.option("save"))
        if report.fault_count():
            raise CommandError(
                f"{report.fault_count()} responses were lost, doubled, "
                "incomplete or crossed",
                "look the requests up with `gypsumusher explain`",
            )

    def _print_progress(self, progress):
        self.line_error(format_progress(progress))


class LoadCompare(ToolCommand):
    """Prints the differences between two saved reports."""

    name = "load compare"
    description = "Print the differences between two saved reports."
    arguments = [
        argument("before", "A file that `load run --save` wrote."),
        argument("after", "The file of a later run."),
    ]

    async def run_command(self):
        """Read both reports and print their comparison."""
        before = read_report(self.argument("before"))
        after = read_report(self.argument("after"))
        self.print_line(compare_reports(before, after))
