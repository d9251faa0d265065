"""The checked description of a load: its streams, rates, shifts, tenants and classes.

A mix file is YAML::

    seed: 7
    duration_s: 8.0
    obey_retry_after: true
    classes:
      counter: {first_token_s: 1.5, deadline_s: 10}
    streams:
      address-checks:
        deployment: letter-models
        class: counter
        rate_per_s: 4.0
        prompt_chars: [200, 600]
        output_tokens: [4, 16]
        non_idempotent_share: 0.2
        tenants: {branch-1: 3, branch-2: 1}
      labels:
        service: counter-api
        path: /labels
        rate_per_s: 2.0
    shifts:
      - {at_s: 4.0, rates_per_s: {address-checks: 8.0}}
"""

import pathlib
import random
from typing import NamedTuple

import yaml

from gypsumusher_cli.errors import FileProblem, InputError, raise_problems

DEFAULT_TENANT = "anonymous"
SHORTEST_PROMPT_CHARS = 64
LONGEST_PROMPT_CHARS = 4_000_000
LONGEST_OUTPUT_TOKENS = 1_000_000
HIGHEST_RATE_PER_S = 100_000.0
LONGEST_LOAD_S = 7 * 24 * 3600.0
LONGEST_WAIT_S = 24 * 3600.0


class ClassTarget(NamedTuple):
    """What makes an answer of one class on time."""

    first_token_s: float
    deadline_s: float


class Stream(NamedTuple):
    """One kind of request, sent at one rate."""

    name: str
    deployment: str
    service: str
    path: str
    class_name: str
    rate_per_s: float
    prompt_chars: tuple[int, int]
    output_tokens: tuple[int, int]
    shared_prefix_chars: int
    non_idempotent_share: float
    tenants: dict[str, float]


class Shift(NamedTuple):
    """From ``at_s`` on, the named streams run at other rates."""

    at_s: float
    rates_per_s: dict[str, float]


class LoadSpec(NamedTuple):
    """A whole load, as read and checked from a file."""

    seed: int
    duration_s: float
    obey_retry_after: bool
    classes: dict[str, ClassTarget]
    streams: dict[str, Stream]
    shifts: tuple[Shift, ...]


class Arrival(NamedTuple):
    """One request of the load: when it is sent and what it asks for."""

    number: int
    at_s: float
    stream: str
    tenant: str
    prompt_chars: int
    output_tokens: int
    non_idempotent: bool


class _Checker:
    """Collects what is wrong with a document while it is read."""

    def __init__(self):
        self.problems = []

    def add(self, path, problem, mend):
        """Note one problem."""
        self.problems.append(FileProblem(path, problem, mend))

    def mapping(self, value, path):
        """Return the value if it is a mapping, else note it and return an empty one."""
        if isinstance(value, dict):
            return value
        self.add(path, f"is {value!r}", "write a mapping of keys to values")
        return {}

    def only(self, mapping, path, known):
        """Note each key that the format doesn't know."""
        for key in mapping:
            if key in known:
                continue
            self.add(f"{path}{key}", "is not a known key", f"use one of {known}")

    def number(self, mapping, path, key, low, high, default=None, whole=False):
        """Return a number between two bounds, or the default when it is absent."""
        value = mapping.get(key, default)
        kinds = int if whole else (int, float)
        if isinstance(value, kinds) and not isinstance(value, bool):
            if low <= value <= high:
                return value if whole else float(value)
        kind = "a whole number" if whole else "a number"
        self.add(f"{path}{key}", f"is {value!r}", f"write {kind} from {low} to {high}")
        return low

    def pair(self, mapping, path, key, low, high, default):
        """Return a (lowest, highest) pair of whole numbers."""
        value = mapping.get(key, default)
        if isinstance(value, (list, tuple)) and len(value) == 2:
            whole = all(type(item) is int for item in value)
            if whole and low <= value[0] <= value[1] <= high:
                return (value[0], value[1])
        self.add(
            f"{path}{key}",
            f"is {value!r}",
            f"write [lowest, highest], whole numbers from {low} to {high}",
        )
        return (low, low)

    def text(self, mapping, path, key, default):
        """Return a string, or the default when it is absent."""
        value = mapping.get(key, default)
        if isinstance(value, str):
            return value
        self.add(f"{path}{key}", f"is {value!r}", "write a string")
        return default

    def flag(self, mapping, path, key, default):
        """Return a boolean, or the default when it is absent."""
        value = mapping.get(key, default)
        if isinstance(value, bool):
            return value
        self.add(f"{path}{key}", f"is {value!r}", "write true or false")
        return default


def _check_class(checker, name, value):
    path = f"classes.{name}."
    mapping = checker.mapping(value, path[:-1])
    checker.only(mapping, path, ClassTarget._fields)
    return ClassTarget(
        checker.number(mapping, path, "first_token_s", 0.001, LONGEST_WAIT_S),
        checker.number(mapping, path, "deadline_s", 0.001, LONGEST_WAIT_S),
    )


def _check_tenants(checker, mapping, path):
    value = mapping.get("tenants", {DEFAULT_TENANT: 1.0})
    tenants = checker.mapping(value, f"{path}tenants")
    if not tenants:
        return {DEFAULT_TENANT: 1.0}
    checked = {}
    for tenant in tenants:
        share = checker.number(tenants, f"{path}tenants.", tenant, 0.000001, 1e9)
        checked[str(tenant)] = share
    return checked


_STREAM_KEYS = (
    "deployment",
    "service",
    "path",
    "class",
    "rate_per_s",
    "prompt_chars",
    "output_tokens",
    "shared_prefix_chars",
    "non_idempotent_share",
    "tenants",
)


def _check_stream(checker, name, value, classes):
    path = f"streams.{name}."
    mapping = checker.mapping(value, path[:-1])
    checker.only(mapping, path, _STREAM_KEYS)
    deployment = checker.text(mapping, path, "deployment", "")
    service = checker.text(mapping, path, "service", "")
    if bool(deployment) == bool(service):
        mend = "name either a deployment or a service"
        checker.add(path[:-1], "needs exactly one target", mend)
    class_name = checker.text(mapping, path, "class", "")
    if class_name not in classes:
        mend = f"name one of the file's classes: {sorted(classes)}"
        checker.add(f"{path}class", f"is {class_name!r}", mend)
    url_path = checker.text(mapping, path, "path", "/")
    if not url_path.startswith("/"):
        checker.add(f"{path}path", f"is {url_path!r}", "begin it with /")
    return Stream(
        name=str(name),
        deployment=deployment,
        service=service,
        path=url_path,
        class_name=class_name,
        rate_per_s=checker.number(mapping, path, "rate_per_s", 0.0, HIGHEST_RATE_PER_S),
        prompt_chars=checker.pair(
            mapping,
            path,
            "prompt_chars",
            SHORTEST_PROMPT_CHARS,
            LONGEST_PROMPT_CHARS,
            (256, 256),
        ),
        output_tokens=checker.pair(
            mapping, path, "output_tokens", 1, LONGEST_OUTPUT_TOKENS, (16, 16)
        ),
        shared_prefix_chars=checker.number(
            mapping,
            path,
            "shared_prefix_chars",
            0,
            LONGEST_PROMPT_CHARS,
            default=0,
            whole=True,
        ),
        non_idempotent_share=checker.number(
            mapping, path, "non_idempotent_share", 0.0, 1.0, default=0.0
        ),
        tenants=_check_tenants(checker, mapping, path),
    )


def _check_shift(checker, position, value, streams):
    path = f"shifts[{position}]."
    mapping = checker.mapping(value, path[:-1])
    checker.only(mapping, path, Shift._fields)
    rates = checker.mapping(mapping.get("rates_per_s"), f"{path}rates_per_s")
    checked = {}
    for name in rates:
        if name not in streams:
            mend = f"name one of the file's streams: {sorted(streams)}"
            checker.add(f"{path}rates_per_s.{name}", "is no stream", mend)
            continue
        checked[name] = checker.number(
            rates, f"{path}rates_per_s.", name, 0.0, HIGHEST_RATE_PER_S
        )
    at_s = checker.number(mapping, path, "at_s", 0.0, LONGEST_LOAD_S)
    return Shift(at_s, checked)


def parse_load_spec(document, source="load file"):
    """Check a parsed load description whole.

    Parameters
    ----------
    document : object
        What the YAML file holds.
    source : str
        The file's name, for messages.

    Returns
    -------
    LoadSpec
        The load.

    Raises
    ------
    InputError
        If anything is wrong; the message lists every problem and its mend.
    """
    checker = _Checker()
    mapping = checker.mapping(document, "the file")
    checker.only(mapping, "", LoadSpec._fields)
    classes = {
        str(name): _check_class(checker, name, value)
        for name, value in checker.mapping(mapping.get("classes"), "classes").items()
    }
    listed = checker.mapping(mapping.get("streams"), "streams")
    streams = {
        str(name): _check_stream(checker, name, value, classes)
        for name, value in listed.items()
    }
    if not streams:
        checker.add("streams", "names no stream", "describe at least one")
    shifts = mapping.get("shifts", [])
    if not isinstance(shifts, list):
        checker.add("shifts", f"is {shifts!r}", "write a list")
        shifts = []
    mix = LoadSpec(
        seed=checker.number(mapping, "", "seed", 0, 2**63, default=0, whole=True),
        duration_s=checker.number(mapping, "", "duration_s", 0.01, LONGEST_LOAD_S),
        obey_retry_after=checker.flag(mapping, "", "obey_retry_after", True),
        classes=classes,
        streams=streams,
        shifts=tuple(
            _check_shift(checker, position, value, streams)
            for position, value in enumerate(shifts)
        ),
    )
    raise_problems(source, checker.problems)
    return mix


def read_load_spec(path):
    """Read and check a load file.

    Parameters
    ----------
    path : str or pathlib.Path
        The YAML file.

    Returns
    -------
    LoadSpec
        The load.

    Raises
    ------
    InputError
        If the file can't be read, isn't YAML, or isn't a load description.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f"load file {path} can't be read ({error})", "name a readable text file"
        ) from error
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        place = " ".join(str(error).split())
        raise InputError(
            f"load file {path} is not YAML ({place})", "mend that line"
        ) from error
    return parse_load_spec(document, str(path))


def _rate_steps(mix, stream):
    """Return the stream's (from, to, rate) steps in order of time."""
    steps = []
    start_s = 0.0
    rate_per_s = stream.rate_per_s
    for shift in sorted(mix.shifts, key=lambda item: item.at_s):
        if stream.name not in shift.rates_per_s or shift.at_s >= mix.duration_s:
            continue
        steps.append((start_s, shift.at_s, rate_per_s))
        start_s = shift.at_s
        rate_per_s = shift.rates_per_s[stream.name]
    steps.append((start_s, mix.duration_s, rate_per_s))
    return steps


def _stream_arrivals(mix, stream):
    # Each stream draws from a source of its own, so that a change to one stream
    # leaves the arrivals of the others as they were and runs stay comparable.
    source = random.Random(f"{mix.seed}/{stream.name}")
    tenants = list(stream.tenants)
    weights = list(stream.tenants.values())
    for start_s, end_s, rate_per_s in _rate_steps(mix, stream):
        at_s = start_s
        while rate_per_s > 0.0:
            at_s += source.expovariate(rate_per_s)
            if at_s >= end_s:
                break
            yield Arrival(
                number=0,
                at_s=at_s,
                stream=stream.name,
                tenant=source.choices(tenants, weights)[0],
                prompt_chars=source.randint(*stream.prompt_chars),
                output_tokens=source.randint(*stream.output_tokens),
                non_idempotent=source.random() < stream.non_idempotent_share,
            )


def plan_arrivals(mix):
    """Draw the whole load's arrivals from its seed.

    Parameters
    ----------
    mix : LoadSpec
        The load.

    Returns
    -------
    list of Arrival
        In order of time, numbered from 0; the same for the same mix.
    """
    arrivals = []
    for stream in mix.streams.values():
        arrivals.extend(_stream_arrivals(mix, stream))
    arrivals.sort(key=lambda item: (item.at_s, item.stream))
    return [item._replace(number=number) for number, item in enumerate(arrivals)]


def make_prompt(mix, arrival):
    """Return the text of one arrival's prompt, unlike that of any other.

    Parameters
    ----------
    mix : LoadSpec
        The load.
    arrival : Arrival
        One of its arrivals.

    Returns
    -------
    str
        ``prompt_chars`` long, beginning with what its stream's prompts share.
    """
    stream = mix.streams[arrival.stream]
    mark = f"[{mix.seed}/{arrival.number}] "
    shared_chars = min(stream.shared_prefix_chars, arrival.prompt_chars - len(mark))
    shared = _fill(f"{stream.name} shared ", shared_chars)
    rest_chars = arrival.prompt_chars - shared_chars - len(mark)
    return shared + mark + _fill(f"{arrival.tenant} {arrival.number} ", rest_chars)


def _fill(pattern, chars):
    return (pattern * (chars // len(pattern) + 1))[:chars]
