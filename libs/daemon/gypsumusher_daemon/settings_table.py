"""The table of all settings of the daemon."""

from typing import Any, NamedTuple

__all__ = ["REQUIRED", "SETTINGS", "Setting"]

# Default of a setting that must be given in the file.
REQUIRED = object()


class Setting(NamedTuple):
    """One key of the settings file.

    Attributes
    ----------
    key : str
        Dotted path in the file.
    kind : str
        ``str``, ``int``, ``float``, ``bool``, ``list of str`` or ``list of keys``.
    unit : str
        Unit of the value, or an empty string.
    default : object
        Value when the key is absent; ``REQUIRED`` when it has none.
    low, high : float or None
        Inclusive bounds of a number.
    reason : str
        Why the key exists and why its default is what it is.
    """

    key: str
    kind: str
    unit: str
    default: Any
    low: float | None
    high: float | None
    reason: str


SETTINGS = (
    Setting(
        "host.name",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Name of this entry host, unique in the fleet.",
    ),
    Setting(
        "host.zone",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Availability zone; placement prefers endpoints of the same one.",
    ),
    Setting(
        "host.region",
        "str",
        "",
        "default",
        None,
        None,
        "Region; hosts of other regions are asked only when none is nearer.",
    ),
    Setting(
        "callers.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number on which callers are served and which /v1/entry gives out.",
    ),
    Setting(
        "callers.port",
        "int",
        "",
        8080,
        0,
        65535,
        "Port of the callers' listener; 0 takes a free one and publishes it.",
    ),
    Setting(
        "callers.max_body_bytes",
        "int",
        "bytes",
        33554432,
        1024,
        1073741824,
        "Largest request body: a long contract bundle is a few megabytes.",
    ),
    Setting(
        "callers.body_timeout_s",
        "float",
        "s",
        30.0,
        0.1,
        3600,
        "Longest time a caller may take to send a request, against slow senders.",
    ),
    Setting(
        "callers.max_requests",
        "int",
        "requests",
        4096,
        1,
        1000000,
        "Most requests in the daemon at once; bounds memory. More are refused.",
    ),
    Setting(
        "callers.max_connections",
        "int",
        "connections",
        4096,
        1,
        1000000,
        "Most connections of callers; unused ones are closed for new ones.",
    ),
    Setting(
        "callers.max_buffer_bytes",
        "int",
        "bytes",
        268435456,
        1048576,
        1099511627776,
        "Most memory of all callers' requests and unsent answers; bounds memory.",
    ),
    Setting(
        "callers.entry_max_age_s",
        "float",
        "s",
        10.0,
        0.1,
        3600,
        "How long callers may keep an answer of /v1/entry; a stop waits this long.",
    ),
    Setting(
        "callers.entry_count",
        "int",
        "hosts",
        3,
        1,
        16,
        "Addresses in one answer of /v1/entry: one to use and two to fall back to.",
    ),
    Setting(
        "operators.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number of the operators' listener.",
    ),
    Setting(
        "operators.port",
        "int",
        "",
        8081,
        0,
        65535,
        "Port of the operators' listener; 0 takes a free one.",
    ),
    Setting(
        "operators.token",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Bearer token of the operators' API; at least 16 characters.",
    ),
    Setting(
        "peers.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number on which other entry hosts connect.",
    ),
    Setting(
        "peers.port",
        "int",
        "",
        8082,
        0,
        65535,
        "Port of the peers' listener; 0 takes a free one and publishes it.",
    ),
    Setting(
        "peers.keys",
        "list of keys",
        "",
        REQUIRED,
        None,
        None,
        "Shared secrets (id, secret). The first signs, all verify: rotation adds the "
        "new one second everywhere, then makes it first, then drops the old one.",
    ),
    Setting(
        "peers.seeds",
        "list of str",
        "",
        (),
        None,
        None,
        "IP:PORT of some peers' listeners, asked for the other hosts when the "
        "platform is down at the start; may be left out.",
    ),
    Setting(
        "peers.gossip_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Interval of probes and gossip in a cell; bounds how old peers' loads are.",
    ),
    Setting(
        "peers.timeout_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Longest wait for a peer's answer before the probe counts as failed.",
    ),
    Setting(
        "platform.urls",
        "list of str",
        "",
        REQUIRED,
        None,
        None,
        "Base URLs of the platform's object API, tried in order.",
    ),
    Setting(
        "platform.token",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Bearer token for the platform.",
    ),
    Setting(
        "platform.timeout_s",
        "float",
        "s",
        2.0,
        0.05,
        60,
        "Longest wait for one call; it answers in milliseconds when well.",
    ),
    Setting(
        "platform.watch_s",
        "float",
        "s",
        20.0,
        0.2,
        300,
        "Length of one waiting watch of the configuration's head.",
    ),
    Setting(
        "platform.poll_s",
        "float",
        "s",
        2.0,
        0.05,
        60,
        "Interval at which the list of hosts and endpoints is read.",
    ),
    Setting(
        "platform.writes_per_s",
        "float",
        "calls/s",
        20.0,
        0.1,
        1000,
        "This host's share of the platform's several hundred writes a second.",
    ),
    Setting(
        "platform.reads_per_s",
        "float",
        "calls/s",
        50.0,
        0.1,
        10000,
        "This host's share of the platform's about two thousand reads a second.",
    ),
    Setting(
        "engines.connect_timeout_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Longest wait for a connection to an endpoint before it counts as failed.",
    ),
    Setting(
        "engines.silence_s",
        "float",
        "s",
        60.0,
        0.1,
        3600,
        "Longest silence in an answer before the connection counts as broken.",
    ),
    Setting(
        "engines.report_s",
        "float",
        "s",
        0.5,
        0.02,
        60,
        "Interval at which load reports are read from the engines of this cell.",
    ),
    Setting(
        "engines.cache_events_s",
        "float",
        "s",
        1.0,
        0.02,
        60,
        "Interval at which cache events are read.",
    ),
    Setting(
        "journal.flush_s",
        "float",
        "s",
        0.1,
        0.0,
        5,
        "Shortest interval between two journal writes: one write carries the keys "
        "that gathered, so that 16 homes stay under 160 writes a second. The first "
        "key after a pause waits for nothing.",
    ),
    Setting(
        "journal.wait_s",
        "float",
        "s",
        3.0,
        0.05,
        60,
        "Longest wait for the journal before a request is refused as not run.",
    ),
    Setting(
        "journal.retention_s",
        "float",
        "s",
        3600.0,
        1,
        604800,
        "How long keys and answers of finished requests are remembered.",
    ),
    Setting(
        "journal.answers_bytes",
        "int",
        "bytes",
        16777216,
        0,
        1073741824,
        "Memory for whole answers kept for repeated keys.",
    ),
    Setting(
        "stewards.lease_s",
        "float",
        "s",
        6.0,
        0.2,
        300,
        "Length of a steward's lease; 40 leases renewed at a third of it are 20 "
        "writes a second.",
    ),
    Setting(
        "stewards.plan_s",
        "float",
        "s",
        2.0,
        0.05,
        300,
        "Interval at which a steward looks at roles and model versions.",
    ),
    Setting(
        "stop.grace_s",
        "float",
        "s",
        300.0,
        0,
        86400,
        "Longest time a planned stop waits for running requests; none is cut "
        "before it.",
    ),
    Setting(
        "log.level",
        "str",
        "",
        "info",
        None,
        None,
        "Least level that is logged: debug, info, warning or error.",
    ),
)
