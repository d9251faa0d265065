"""Run the stand-ins as ``python -m gypsumusher_standins``."""

from gypsumusher_standins.cmdline import main

if __name__ == "__main__":
    main()
