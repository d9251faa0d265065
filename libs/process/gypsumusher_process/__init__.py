"""Start of a process, its event loop, signal handlers, and non-blocking logs.

Modules are imported once a name of theirs is used, so that a program can handle signals
before it imports the event loop.
"""

import importlib
import os

# libuv reads this variable once, when it creates its first loop, so it is set before
# uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

_NAMES = {
    "background": ("keep_running",),
    "bounded_log": ("BoundedLog", "create_bounded_log"),
    "descriptors": ("raise_descriptor_limit",),
    "entry_point": ("run_main",),
    "event_loop": ("check_no_io_uring", "list_io_uring_fds", "run_event_loop"),
    "log_lines": ("create_log", "format_fields", "parse_fields"),
    "program": ("run_program",),
    "settings_file": ("SettingsReload",),
    "signals": ("ProcessSignals",),
    "standard_streams": ("open_closed_streams", "print_error"),
}
_MODULE_OF = {name: module for module, names in _NAMES.items() for name in names}

__all__ = [*_MODULE_OF]


def __getattr__(name):
    """Import the module of a name that is used for the first time."""
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    found = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = found
    return found


def __dir__():
    return sorted(__all__)
