"""Measure every slope behind docs/CAPACITY.md; `make capacity` runs it."""

import argparse
import json
import pathlib
import sys

from capacity_config import measure_config, section_bytes
from capacity_fit import Line, format_line
from capacity_home import measure_home
from capacity_links import measure_links
from capacity_metrics import measure_metrics
from capacity_objects import measure_policy
from capacity_processes import measure_control, measure_serving
from capacity_size import format_size

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT_PATH = ROOT / "build" / "capacity.jsonl"
PARTS = {
    "policy": measure_policy,
    "links": measure_links,
    "config": measure_config,
    "home": measure_home,
    "metrics": measure_metrics,
    "serving": measure_serving,
    "control": measure_control,
}


def read_lines(path):
    """Return the lines of an earlier run by name."""
    lines = {}
    for text in path.read_text().splitlines():
        fields = json.loads(text)
        fields.pop("part")
        lines[fields["name"]] = Line(**fields)
    return lines


def main(arguments=None):
    """Measure the chosen parts, print each line, and write them as JSON lines.

    Parameters
    ----------
    arguments : list of str, optional
        The command line; the process's own by default.
    """
    parser = argparse.ArgumentParser(description=main.__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", choices=[[], *PARTS], default=[])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT_PATH)
    parser.add_argument("--tables", type=pathlib.Path, metavar="EARLIER_OUTPUT")
    options = parser.parse_args(arguments)
    if options.tables is not None:
        print(format_size(read_lines(options.tables)))
        return
    options.output.parent.mkdir(parents=True, exist_ok=True)
    lines = {}
    with open(options.output, "w") as output:
        for name in options.parts or PARTS:
            print(f"{name}:", flush=True)
            for line in PARTS[name]():
                print(f"  {format_line(line)}", flush=True)
                lines[line.name] = line
                output.write(json.dumps({"part": name, **line._asdict()}) + "\n")
    print(f"one deployment's section: {section_bytes()} bytes of JSON")
    print(f"written to {options.output}")
    if not options.parts:
        print(format_size(lines))


if __name__ == "__main__":
    sys.exit(main())
