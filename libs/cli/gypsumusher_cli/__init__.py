"""The gypsumusher command-line tool and its load generator."""

from gypsumusher_cli.errors import CommandError, FileProblem, InputError
from gypsumusher_cli.loadmix import Arrival, Mix, check_mix, plan_arrivals, read_mix
from gypsumusher_cli.loadreport import (
    Report,
    compare_reports,
    format_table,
    load_report,
    mark_doubled,
    save_report,
    summarize,
)
from gypsumusher_cli.loadrun import LoadOptions, Outcome, Progress, run_load

__all__ = [
    "Arrival",
    "CommandError",
    "FileProblem",
    "InputError",
    "LoadOptions",
    "Mix",
    "Outcome",
    "Progress",
    "Report",
    "check_mix",
    "compare_reports",
    "format_table",
    "load_report",
    "mark_doubled",
    "plan_arrivals",
    "read_mix",
    "run_load",
    "save_report",
    "summarize",
]
