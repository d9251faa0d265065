"""What every process needs: its start, the event loop, and logs that never block."""

from gypsumusher_process.bounded import BoundedLog, create_bounded_log
from gypsumusher_process.lines import create_log, format_fields, parse_fields
from gypsumusher_process.loop import check_no_ring, open_rings, run
from gypsumusher_process.program import handle_signals, run_program

__all__ = [
    "BoundedLog",
    "check_no_ring",
    "create_bounded_log",
    "create_log",
    "format_fields",
    "handle_signals",
    "open_rings",
    "parse_fields",
    "run",
    "run_program",
]
