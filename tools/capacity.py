"""Write the tables of docs/CAPACITY.md from the report of a sweep over sizes.

``capacity.py REPORT [--hosts N]`` prints a table of the measured points with their
slopes, and what they lead to at a size, against the limits of control.
"""

import argparse
import pathlib
import sys

from capacity_fit import fit_points, predict

from gypsumusher_platform.sweep_report import decode_sweep
from gypsumusher_ports import DecodeError

# The size to design for, and what control may take of a host there.
HOSTS = 330
LIMITS = {"processor %": 4.7, "memory MB": 128.0, "kB a second": 2.0}


def format_slopes(rows, hosts):
    """Return the measured points, slopes and worked values as a Markdown table."""
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
    cells += [growth, f"{100 * fit.error:.0f}%", f"{value:.3g}", _verdict(name, value)]
    return "| " + " | ".join(cells) + " |"


def _verdict(name, value):
    """Return the limit of a quantity, and by how much a value is over it."""
    for ending, limit in LIMITS.items():
        if not name.endswith(ending):
            continue
        if value <= limit:
            return f"{limit:g}"
        return f"{limit:g}, over {value / limit:.1f} times"
    return ""


def main(arguments=None):
    """Read a report and print its table; return the exit code.

    Parameters
    ----------
    arguments : list of str, optional
        The command line; the process's own by default.
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
