"""Lets ``python -m gypsumusher_daemon`` run the daemon."""

import sys

from gypsumusher_daemon.cmdline import main

sys.exit(main())
