"""One line of key=value pairs for each event."""

import re
import sys

__all__ = ["create_log", "format_fields", "parse_fields"]

# How a record of the log library becomes a line.
LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
_ESCAPES = {"n": "\n", "r": "\r"}


def format_fields(fields):
    """Return ``key=value`` pairs, values quoted where they need it.

    Parameters
    ----------
    fields : dict
        Values by key; None values are left out. Must hold no payloads or secrets.

    Returns
    -------
    str
        One line.
    """
    parts = []
    for key, value in fields.items():
        if value is None:
            continue
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or any(mark in text for mark in ' "=\n\r\t'):
            escaped = text.replace("\\", "\\\\").replace('"', '\\"')
            escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
            text = f'"{escaped}"'
        parts.append(f"{key}={text}")
    return " ".join(parts)


def parse_fields(line):
    """Return the values by key of a line that `format_fields` wrote.

    Parameters
    ----------
    line : str
        The line; what isn't a ``key=value`` pair is passed over.

    Returns
    -------
    dict of str to str
    """
    fields = {}
    for key, text in _FIELD.findall(line):
        if text.startswith('"'):
            text = re.sub(
                r"\\(.)", lambda match: _ESCAPES.get(match[1], match[1]), text[1:-1]
            )
        fields[key] = text
    return fields


def create_log(host, level, stream=None):
    """Return a function that logs one event.

    Parameters
    ----------
    host : str
        Name of this host; stands on each line.
    level : str
        Least level: debug, info, warning or error.
    stream : file or None
        Where lines go; standard error by default.

    Returns
    -------
    callable
        ``log(level, event, **fields)``.
    """
    # Its import takes as long as all of a small program, so only who uses it pays.
    import logbook

    handler = logbook.StreamHandler(
        stream or sys.stderr,
        level=level.upper(),
        format_string=LINE_FORMAT,
    )
    logger = logbook.Logger("gypsumusherd")

    def log(level_name, event, **fields):
        line = format_fields({"event": event, "host": host, **fields})
        with handler.applicationbound():
            getattr(logger, level_name)("{}", line)

    return log
