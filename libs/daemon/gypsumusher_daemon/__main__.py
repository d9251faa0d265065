"""Entry point of ``python -m gypsumusher_daemon``."""

import sys

from gypsumusher_daemon.cmdline import main

sys.exit(main())
