"""Log lines: one line of key=value pairs for each event."""

import re
import sys

__all__ = ["create_log", "format_fields", "parse_fields"]

# Format of a record of the log library.
LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)
_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
_ESCAPES = {"n": "\n", "r": "\r"}


def format_fields(fields):
    """Format fields as ``key=value`` pairs; values are quoted where necessary.

    Parameters
    ----------
    fields : dict
        Values by key; None values are left out. They must hold no payloads or secrets.

    Returns
    -------
    str
        One line, without a line feed.
    """
    parts = []
    for key, value in fields.items():
        if value is None:
            continue
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or any(special in text for special in ' "=\n\r\t'):
            escaped = text.replace("\\", "\\\\").replace('"', '\\"')
            escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
            text = f'"{escaped}"'
        parts.append(f"{key}={text}")
    return " ".join(parts)


def parse_fields(line):
    """Parse a line that `format_fields` wrote.

    Parameters
    ----------
    line : str
        The line; text outside of ``key=value`` pairs is ignored.

    Returns
    -------
    dict of str to str
        Unquoted values by key.
    """
    fields = {}
    for key, text in _FIELD_PATTERN.findall(line):
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
        Name of this host, a field of each line.
    level : str
        Lowest level that is logged: debug, info, warning or error.
    stream : file or None
        Stream for the lines; standard error by default.

    Returns
    -------
    callable
        ``log(level, event, **fields)``.
    """
    # Imported here, since the import takes as long as the rest of a small program, and
    # programs that don't call this function needn't wait for it.
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
