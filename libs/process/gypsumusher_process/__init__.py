"""Start of a process, its event loop, signal handlers, and non-blocking logs."""

from gypsumusher_process.bounded_log import BoundedLog, create_bounded_log
from gypsumusher_process.event_loop import (
    check_no_io_uring,
    list_io_uring_fds,
    run_event_loop,
)
from gypsumusher_process.log_lines import create_log, format_fields, parse_fields
from gypsumusher_process.program import install_signal_handlers, run_program

__all__ = [
    "BoundedLog",
    "check_no_io_uring",
    "create_bounded_log",
    "create_log",
    "format_fields",
    "install_signal_handlers",
    "list_io_uring_fds",
    "parse_fields",
    "run_event_loop",
    "run_program",
]
