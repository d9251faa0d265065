"""The gypsumusher command-line tool and its load generator."""

from gypsumusher_cli.errors import CommandError, FileProblem, InputError
from gypsumusher_cli.load_generator import LoadOptions, Outcome, Progress, run_load
from gypsumusher_cli.load_report import (
    Report,
    compare_reports,
    format_report,
    mark_duplicate_runs,
    read_report,
    save_report,
    summarize,
)
from gypsumusher_cli.load_spec import (
    Arrival,
    LoadSpec,
    parse_load_spec,
    plan_arrivals,
    read_load_spec,
)

__all__ = [
    "Arrival",
    "CommandError",
    "FileProblem",
    "InputError",
    "LoadOptions",
    "LoadSpec",
    "Outcome",
    "Progress",
    "Report",
    "parse_load_spec",
    "compare_reports",
    "format_report",
    "read_report",
    "mark_duplicate_runs",
    "plan_arrivals",
    "read_load_spec",
    "run_load",
    "save_report",
    "summarize",
]
