"""Run the entry host as ``python3 -m gypsumusher_entry``."""

import sys

from gypsumusher_process import run_main

sys.exit(run_main("gypsumusher_entry.cmdline"))
