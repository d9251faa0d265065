"""Load specifications: streams of requests, rates, rate shifts, tenants and classes.

A load file is YAML::

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

from gypsumusher_cli.errors import FileProblem, InputError, raise_if_problems

DEFAULT_TENANT = "anonymous"
# Leaves room for the marker that makes each prompt unique; see make_prompt.
MIN_PROMPT_CHARS = 64
# Upper bounds of the values in a load file; a file with a larger value is refused.
MAX_PROMPT_CHARS = 4_000_000
MAX_OUTPUT_TOKENS = 1_000_000
MAX_RATE_PER_S = 100_000.0
MAX_DURATION_S = 7 * 24 * 3600.0
# Of a class's first_token_s and deadline_s.
MAX_TARGET_S = 24 * 3600.0


class ClassTarget(NamedTuple):
    """Latency targets of a request class; a response that meets both is on time."""

    first_token_s: float
    deadline_s: float


class Stream(NamedTuple):
    """One kind of request, sent at one rate.

    Exactly one of ``deployment`` and ``service`` is set. Pairs are the lowest and
    highest value of a uniform distribution; ``tenants`` maps names to weights.
    """

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
    """A change of the named streams' rates at ``at_s``, counted from the start."""

    at_s: float
    rates_per_s: dict[str, float]


class LoadSpec(NamedTuple):
    """A load, as read and validated from a file.

    ``obey_retry_after`` tells whether refused requests are sent again after their
    response's retry_after_s.
    """

    seed: int
    duration_s: float
    obey_retry_after: bool
    classes: dict[str, ClassTarget]
    streams: dict[str, Stream]
    shifts: tuple[Shift, ...]


class Arrival(NamedTuple):
    """One planned request: its time, in seconds from the start, and its contents."""

    number: int
    at_s: float
    stream: str
    tenant: str
    prompt_chars: int
    output_tokens: int
    non_idempotent: bool


class _Validator:
    """Reads values from a parsed document and collects the problems it finds."""

    def __init__(self):
        self.problems = []

    def add_problem(self, path, problem, hint):
        """Record one problem."""
        self.problems.append(FileProblem(path, problem, hint))

    def mapping(self, value, path):
        """Return the value; ``{}`` and a recorded problem if it is not a mapping."""
        if isinstance(value, dict):
            return value
        self.add_problem(path, f"is {value!r}", "write a mapping of keys to values")
        return {}

    def reject_unknown_keys(self, mapping, path, known):
        """Record a problem for each key that is not in ``known``."""
        for key in mapping:
            if key in known:
                continue
            self.add_problem(
                f"{path}{key}", "is not a known key", f"use one of {known}"
            )

    def number(self, mapping, path, key, low, high, default=None, integer=False):
        """Return a number from ``low`` to ``high``, or the default when absent."""
        value = mapping.get(key, default)
        kinds = int if integer else (int, float)
        if isinstance(value, kinds) and not isinstance(value, bool):
            if low <= value <= high:
                return value if integer else float(value)
        kind = "a whole number" if integer else "a number"
        self.add_problem(
            f"{path}{key}", f"is {value!r}", f"write {kind} from {low} to {high}"
        )
        return low

    def pair(self, mapping, path, key, low, high, default):
        """Return a (lowest, highest) pair of integers, or the default when absent."""
        value = mapping.get(key, default)
        if isinstance(value, (list, tuple)) and len(value) == 2:
            integers = all(type(item) is int for item in value)
            if integers and low <= value[0] <= value[1] <= high:
                return (value[0], value[1])
        self.add_problem(
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
        self.add_problem(f"{path}{key}", f"is {value!r}", "write a string")
        return default

    def flag(self, mapping, path, key, default):
        """Return a boolean, or the default when it is absent."""
        value = mapping.get(key, default)
        if isinstance(value, bool):
            return value
        self.add_problem(f"{path}{key}", f"is {value!r}", "write true or false")
        return default


def _parse_class(validator, name, value):
    path = f"classes.{name}."
    mapping = validator.mapping(value, path[:-1])
    validator.reject_unknown_keys(mapping, path, ClassTarget._fields)
    return ClassTarget(
        validator.number(mapping, path, "first_token_s", 0.001, MAX_TARGET_S),
        validator.number(mapping, path, "deadline_s", 0.001, MAX_TARGET_S),
    )


def _parse_tenants(validator, mapping, path):
    value = mapping.get("tenants", {DEFAULT_TENANT: 1.0})
    tenants = validator.mapping(value, f"{path}tenants")
    if not tenants:
        return {DEFAULT_TENANT: 1.0}
    checked = {}
    for tenant in tenants:
        share = validator.number(tenants, f"{path}tenants.", tenant, 0.000001, 1e9)
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


def _parse_stream(validator, name, value, classes):
    path = f"streams.{name}."
    mapping = validator.mapping(value, path[:-1])
    validator.reject_unknown_keys(mapping, path, _STREAM_KEYS)
    deployment = validator.text(mapping, path, "deployment", "")
    service = validator.text(mapping, path, "service", "")
    if bool(deployment) == bool(service):
        hint = "name either a deployment or a service"
        validator.add_problem(path[:-1], "needs exactly one target", hint)
    class_name = validator.text(mapping, path, "class", "")
    if class_name not in classes:
        hint = f"name one of the file's classes: {sorted(classes)}"
        validator.add_problem(f"{path}class", f"is {class_name!r}", hint)
    url_path = validator.text(mapping, path, "path", "/")
    if not url_path.startswith("/"):
        validator.add_problem(f"{path}path", f"is {url_path!r}", "start it with /")
    return Stream(
        name=str(name),
        deployment=deployment,
        service=service,
        path=url_path,
        class_name=class_name,
        rate_per_s=validator.number(mapping, path, "rate_per_s", 0.0, MAX_RATE_PER_S),
        prompt_chars=validator.pair(
            mapping,
            path,
            "prompt_chars",
            MIN_PROMPT_CHARS,
            MAX_PROMPT_CHARS,
            (256, 256),
        ),
        output_tokens=validator.pair(
            mapping, path, "output_tokens", 1, MAX_OUTPUT_TOKENS, (16, 16)
        ),
        shared_prefix_chars=validator.number(
            mapping,
            path,
            "shared_prefix_chars",
            0,
            MAX_PROMPT_CHARS,
            default=0,
            integer=True,
        ),
        non_idempotent_share=validator.number(
            mapping, path, "non_idempotent_share", 0.0, 1.0, default=0.0
        ),
        tenants=_parse_tenants(validator, mapping, path),
    )


def _parse_shift(validator, position, value, streams):
    path = f"shifts[{position}]."
    mapping = validator.mapping(value, path[:-1])
    validator.reject_unknown_keys(mapping, path, Shift._fields)
    rates = validator.mapping(mapping.get("rates_per_s"), f"{path}rates_per_s")
    checked = {}
    for name in rates:
        if name not in streams:
            hint = f"name one of the file's streams: {sorted(streams)}"
            validator.add_problem(f"{path}rates_per_s.{name}", "is no stream", hint)
            continue
        checked[name] = validator.number(
            rates, f"{path}rates_per_s.", name, 0.0, MAX_RATE_PER_S
        )
    at_s = validator.number(mapping, path, "at_s", 0.0, MAX_DURATION_S)
    return Shift(at_s, checked)


def parse_load_spec(document, source="load file"):
    """Return the load specification in a parsed YAML document.

    Parameters
    ----------
    document : object
        The parsed content of the YAML file.
    source : str
        The file's name, for messages.

    Returns
    -------
    LoadSpec
        The load.

    Raises
    ------
    InputError
        If anything is invalid; the message lists every problem with a hint.
    """
    validator = _Validator()
    mapping = validator.mapping(document, "the file")
    validator.reject_unknown_keys(mapping, "", LoadSpec._fields)
    classes = {
        str(name): _parse_class(validator, name, value)
        for name, value in validator.mapping(mapping.get("classes"), "classes").items()
    }
    stream_documents = validator.mapping(mapping.get("streams"), "streams")
    streams = {
        str(name): _parse_stream(validator, name, value, classes)
        for name, value in stream_documents.items()
    }
    if not streams:
        validator.add_problem("streams", "names no stream", "describe at least one")
    shifts = mapping.get("shifts", [])
    if not isinstance(shifts, list):
        validator.add_problem("shifts", f"is {shifts!r}", "write a list")
        shifts = []
    spec = LoadSpec(
        seed=validator.number(mapping, "", "seed", 0, 2**63, default=0, integer=True),
        duration_s=validator.number(mapping, "", "duration_s", 0.01, MAX_DURATION_S),
        obey_retry_after=validator.flag(mapping, "", "obey_retry_after", True),
        classes=classes,
        streams=streams,
        shifts=tuple(
            _parse_shift(validator, position, value, streams)
            for position, value in enumerate(shifts)
        ),
    )
    raise_if_problems(source, validator.problems)
    return spec


def read_load_spec(path):
    """Read and validate a load file.

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
        If the file can't be read, isn't YAML, or isn't a load specification.
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
            f"load file {path} is not YAML ({place})", "fix that line"
        ) from error
    return parse_load_spec(document, str(path))


def _rate_steps(spec, stream):
    """Return the stream's (start_s, end_s, rate_per_s) intervals in order of time."""
    steps = []
    start_s = 0.0
    rate_per_s = stream.rate_per_s
    for shift in sorted(spec.shifts, key=lambda item: item.at_s):
        if stream.name not in shift.rates_per_s or shift.at_s >= spec.duration_s:
            continue
        steps.append((start_s, shift.at_s, rate_per_s))
        start_s = shift.at_s
        rate_per_s = shift.rates_per_s[stream.name]
    steps.append((start_s, spec.duration_s, rate_per_s))
    return steps


def _draw_stream_arrivals(spec, stream):
    """Yield a stream's arrivals, a Poisson process of the rate of each interval."""
    # Each stream has its own random generator, so that a change to one stream leaves
    # the arrivals of the others unchanged and runs stay comparable.
    rng = random.Random(f"{spec.seed}/{stream.name}")
    tenants = list(stream.tenants)
    weights = list(stream.tenants.values())
    for start_s, end_s, rate_per_s in _rate_steps(spec, stream):
        at_s = start_s
        while rate_per_s > 0.0:
            at_s += rng.expovariate(rate_per_s)
            if at_s >= end_s:
                break
            yield Arrival(
                number=0,
                at_s=at_s,
                stream=stream.name,
                tenant=rng.choices(tenants, weights)[0],
                prompt_chars=rng.randint(*stream.prompt_chars),
                output_tokens=rng.randint(*stream.output_tokens),
                non_idempotent=rng.random() < stream.non_idempotent_share,
            )


def plan_arrivals(spec):
    """Return all arrivals of a load, drawn with its seed.

    Parameters
    ----------
    spec : LoadSpec
        The load.

    Returns
    -------
    list of Arrival
        In order of time, numbered from 0; equal for equal specifications.
    """
    arrivals = []
    for stream in spec.streams.values():
        arrivals.extend(_draw_stream_arrivals(spec, stream))
    arrivals.sort(key=lambda item: (item.at_s, item.stream))
    return [item._replace(number=number) for number, item in enumerate(arrivals)]


def make_prompt(spec, arrival):
    """Return the prompt of one arrival, which differs from that of any other.

    Parameters
    ----------
    spec : LoadSpec
        The load.
    arrival : Arrival
        One of its arrivals.

    Returns
    -------
    str
        ``prompt_chars`` long, starting with the prefix that its stream's prompts share.
    """
    stream = spec.streams[arrival.stream]
    marker = f"[{spec.seed}/{arrival.number}] "
    shared_chars = min(stream.shared_prefix_chars, arrival.prompt_chars - len(marker))
    shared = _repeat_to_length(f"{stream.name} shared ", shared_chars)
    rest_chars = arrival.prompt_chars - shared_chars - len(marker)
    return (
        shared
        + marker
        + _repeat_to_length(f"{arrival.tenant} {arrival.number} ", rest_chars)
    )


def _repeat_to_length(pattern, chars):
    return (pattern * (chars // len(pattern) + 1))[:chars]
