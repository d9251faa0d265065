"""Run the entry host as ``python3 -m gypsumusher_entry``."""

import sys

from gypsumusher_entry.cmdline import main

sys.exit(main())
