"""The commands that run a load and compare two reports."""

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
    """Return one line that tells how far a load has come."""
    results = ", ".join(f"{name} {n}" for name, n in sorted(progress.results.items()))
    return (
        f"{progress.elapsed_s:5.1f} s: sent {progress.sent} of {progress.planned}, "
        f"running {progress.running}, {results or 'none ended'}"
    )


class LoadRunCommand(ToolCommand):
    """Sends a load and prints its table."""

    name = "load run"
    description = "Send the load that a file describes and print what came of it."
    arguments = [argument("file", "YAML file: streams, rates, shifts, classes.")]
    options = [
        option("callers", None, "Callers' addresses, IP:PORT[,IP:PORT].", flag=False),
        option("zone", None, "Own availability zone.", flag=False, default=""),
        option("save", None, "Also write the report to this file.", flag=False),
        option("no-progress", None, "Print the table only."),
        *ACCESS_OPTIONS,
    ]

    async def operate(self):
        """Run the load; fail when an answer was lost or wrong."""
        access = self.access()
        require_callers(access)
        mix = read_load_spec(self.argument("file"))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcomes = await run_load(
            mix,
            LoadOptions(hosts=access.callers, zone=self.option("zone")),
            None if self.option("no-progress") else self._show,
        )
        report = summarize(mix, outcomes, loop.time() - started_s)
        self.say(format_report(report))
        if self.option("save"):
            save_report(report, self.option("save"))
        if report.fault_count():
            raise CommandError(
                f"{report.fault_count()} answers were lost, doubled, "
                "incomplete or crossed",
                "look the requests up with `gypsumusher explain`",
            )

    def _show(self, progress):
        self.line_error(format_progress(progress))


class LoadCompare(ToolCommand):
    """Prints what changed between two saved reports."""

    name = "load compare"
    description = "Print what changed from one saved report to another."
    arguments = [
        argument("before", "A file that `load run --save` wrote."),
        argument("after", "Another one."),
    ]

    async def operate(self):
        """Read both reports and print the table."""
        before = read_report(self.argument("before"))
        after = read_report(self.argument("after"))
        self.say(compare_reports(before, after))
