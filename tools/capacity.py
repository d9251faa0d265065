"""Prints the table of docs/CAPACITY.md from the report of a sweep over sizes.

``capacity.py REPORT [--hosts N]`` prints the measured points, the fitted growth, the
value predicted for a number of hosts and its limit.
"""

import argparse
import pathlib
import sys

from capacity_fit import fit_points, predict

from gypsumusher_platform.sweep_report import decode_sweep
from gypsumusher_ports import DecodeError

# Number of hosts to predict for: the size that the system is designed for.
HOSTS = 330
# Limits of what the control plane may use of a host at that size, by unit.
LIMITS = {"processor %": 4.7, "memory MB": 128.0, "kB a second": 2.0}


def format_slopes(rows, hosts):
    """Return points, growth, predictions and limits as a Markdown table."""
    sizes = [size for size, _ in rows[0].median]
    header = " | ".join(str(size) for size in sizes)
    lines = [
        f"| quantity | host | {header} | grows | error | at {hosts} | limit |",
        "|---" * (len(sizes) + 6) + "|",
    ]
    for row in rows:
        for host, points in (("middle", row.median), ("busiest", row.busiest)):
            lines.append(_format_row(row.name, host, points, hosts))
    return "\n".join(lines)


def _format_row(name, host, points, hosts):
    fit = fit_points(points)
    value = predict(fit, hosts)
    cells = [name, host, *(f"{value:g}" for _, value in points)]
    growth = f"{fit.slope:.3g} a host" if fit.form == "linear" else f"^{fit.slope:.2f}"
    cells += [
        growth,
        f"{100 * fit.error:.0f}%",
        f"{value:.3g}",
        _format_limit(name, value),
    ]
    return "| " + " | ".join(cells) + " |"


def _format_limit(name, value):
    """Return the limit of a quantity, and by which factor a value exceeds it."""
    for ending, limit in LIMITS.items():
        if not name.endswith(ending):
            continue
        if value <= limit:
            return f"{limit:g}"
        return f"{limit:g}, over {value / limit:.1f} times"
    return ""


def main(arguments=None):
    """Print the table of a report and return the exit code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line; default: that of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report", type=pathlib.Path, help="what the sweep printed")
    parser.add_argument("--hosts", type=int, default=HOSTS, help="size to work out")
    options = parser.parse_args(arguments)
    try:
        rows = decode_sweep(str(options.report), options.report.read_text())
        print(format_slopes(rows, options.hosts))
    except (OSError, DecodeError, ValueError) as error:
        print(f"capacity: {error}; give the whole output of a sweep", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
