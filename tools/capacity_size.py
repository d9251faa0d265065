"""Works out from the measured lines what each role costs at the two-year size."""

from typing import NamedTuple

from capacity_fit import predict

NODES = 330
REPLICAS = 910
MODELS = 40
CELL_HOSTS = 8
REQUESTS_PER_S = 7_400
TOKENS_PER_S = 1_800_000
ACCOUNTS = 6_500
FIRST_TOKEN_S = 1.5
BETWEEN_TOKENS_S = 0.027
PATCHES_A_DAY = 3_800
DAY_S = 86_400
RESTARTS_A_DAY = 260
FAILURES_A_DAY = 22
# The users name no share; a tenth is our assumption, and the lines scale with it.
NON_IDEMPOTENT_SHARE = 0.1
HOMES = 16
ENTRY_AGE_S = 10.0
GOSSIP_S = 1.0
LABEL_SETS = 3 * 16
PREFIXES_KEPT = 40_000
# The defaults of the journal: keys that a home remembers, and its kept answers.
KEYS_REMEMBERED = 50_000
ANSWERS_BYTES = 16_777_216
SCRAPE_S = 15.0
# A sixth of the hosts go at once with their zone, and the rest take their work.
ZONES = 6

LIMIT_CORE = 4.7
LIMIT_BYTES = 128e6
LIMIT_BYTES_PER_S = 2_000.0
LIMIT_READS_PER_S = 2_000.0
LIMIT_WRITES_PER_S = 300.0

REQUESTS_A_NODE = REQUESTS_PER_S / NODES
EVENTS_A_NODE = TOKENS_PER_S / NODES
TOKENS_A_REQUEST = TOKENS_PER_S / REQUESTS_PER_S
STREAMS_A_NODE = REQUESTS_A_NODE * (FIRST_TOKEN_S + TOKENS_A_REQUEST * BETWEEN_TOKENS_S)
REPLICAS_A_CELL = REPLICAS / MODELS
CELLS_A_NODE = MODELS * CELL_HOSTS / NODES
KEYS_A_HOME = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE / HOMES


class Need(NamedTuple):
    """One need of one role at the two-year size, beside its limit if it has one."""

    role: str
    what: str
    value: float
    unit: str
    limit: float | None


def slope(lines, name):
    """Return the slope of a measured line."""
    return lines[name].slope


def serving_needs(lines):
    """Return what serving callers needs of one node; the limits are for control."""
    request_s = slope(lines, "requests relayed by a daemon")
    event_s = slope(lines, "events relayed by a daemon")
    answers_per_s = ACCOUNTS / ENTRY_AGE_S / NODES
    answer_s = slope(lines, "entry answers of a daemon")
    choose_us = predict(lines["a cell chosen anew"], NODES)
    decision_us = predict(
        lines["decision, one request from arrival to end"], REPLICAS_A_CELL
    )
    cores = 100.0
    return [
        Need("relay", "requests", REQUESTS_A_NODE * request_s * cores, "% core", None),
        Need("relay", "events", EVENTS_A_NODE * event_s * cores, "% core", None),
        Need("relay", "decisions", REQUESTS_A_NODE * decision_us / 1e4, "% core", None),
        Need(
            "entry",
            "answers",
            answers_per_s * (answer_s * 1e6 + choose_us) / 1e4,
            "% core",
            None,
        ),
    ]


def control_needs(lines):
    """Return what control needs of one node, line by line."""
    peers = CELL_HOSTS - 1
    exchange_bytes = predict(lines["one exchange of news, both ways"], REPLICAS_A_CELL)
    exchange_us = predict(
        lines["one exchange of news, one host's time"], REPLICAS_A_CELL
    )
    peer_us = predict(lines["one peer's load taken in"], REPLICAS_A_CELL)
    patches_per_s = PATCHES_A_DAY / DAY_S
    head_bytes = predict(lines["the head"], MODELS)
    adopt_ms = predict(lines["one changed section adopted"], MODELS)
    page_ms = predict(lines["a page of metrics made"], LABEL_SETS)
    page_bytes = predict(lines["a page of metrics"], LABEL_SETS)
    engines = predict(
        lines["load reports and cache events of a daemon"], REPLICAS_A_CELL
    )
    idle = predict(lines["an idle daemon's time"], REPLICAS_A_CELL)
    listed = predict(lines["what a host hears from the platform"], REPLICAS)
    listed_core = slope(lines, "an idle daemon's time, by the list") * REPLICAS
    gossip_per_s = peers / GOSSIP_S
    return [
        Need("cell member", "load reports", engines, "bytes/s", LIMIT_BYTES_PER_S),
        Need(
            "cell member",
            "gossip",
            gossip_per_s * exchange_bytes,
            "bytes/s",
            LIMIT_BYTES_PER_S,
        ),
        Need("cell member", "idle with its engines", idle, "% core", LIMIT_CORE),
        Need(
            "cell member",
            "gossip",
            gossip_per_s * (exchange_us + peer_us) / 1e4,
            "% core",
            LIMIT_CORE,
        ),
        Need("list reader", "the list", listed, "bytes/s", LIMIT_BYTES_PER_S),
        Need("list reader", "the list", listed_core, "% core", LIMIT_CORE),
        Need(
            "configuration watcher",
            "heads",
            patches_per_s * head_bytes,
            "bytes/s",
            LIMIT_BYTES_PER_S,
        ),
        Need(
            "configuration watcher",
            "adoption",
            patches_per_s * adopt_ms / 10.0,
            "% core",
            LIMIT_CORE,
        ),
        Need("metrics", "pages", page_bytes / SCRAPE_S, "bytes/s", LIMIT_BYTES_PER_S),
        Need("metrics", "pages", page_ms / SCRAPE_S / 10.0, "% core", LIMIT_CORE),
    ]


def memory_needs(lines):
    """Return what one node keeps, part by part."""
    return [
        Need(
            "all",
            "the program",
            lines["a daemon's resident memory"].intercept,
            "bytes",
            LIMIT_BYTES,
        ),
        Need(
            "cell member",
            "prefix table, full",
            predict(lines["prefix table"], PREFIXES_KEPT),
            "bytes",
            LIMIT_BYTES,
        ),
        Need(
            "cell member",
            "requests tracked",
            STREAMS_A_NODE * slope(lines, "requests in flight"),
            "bytes",
            LIMIT_BYTES,
        ),
        Need(
            "home",
            "keys remembered, full",
            KEYS_REMEMBERED * slope(lines, "keys remembered"),
            "bytes",
            LIMIT_BYTES,
        ),
        Need("home", "answers kept, full", ANSWERS_BYTES, "bytes", LIMIT_BYTES),
        Need(
            "relay",
            "open streams",
            STREAMS_A_NODE * slope(lines, "a daemon's resident memory"),
            "bytes",
            LIMIT_BYTES,
        ),
        Need(
            "configuration watcher",
            "document and sections",
            predict(lines["document and sections kept"], MODELS),
            "bytes",
            LIMIT_BYTES,
        ),
        Need(
            "metrics",
            "series",
            predict(lines["metrics kept"], LABEL_SETS),
            "bytes",
            LIMIT_BYTES,
        ),
    ]


def home_needs(lines):
    """Return what one of the homes needs."""
    return [
        Need(
            "home",
            "journal writes",
            predict(lines["journal bytes of a home"], KEYS_A_HOME),
            "bytes/s",
            LIMIT_BYTES_PER_S,
        ),
        Need(
            "home",
            "journal",
            predict(lines["journal time of a home"], KEYS_A_HOME),
            "% core",
            LIMIT_CORE,
        ),
    ]


def platform_needs(lines):
    """Return what all nodes together ask of the platform."""
    starts_per_s = RESTARTS_A_DAY / DAY_S
    start_calls = predict(lines["platform calls of one start"], MODELS)
    host_reads = lines["a host's reads at the platform"]
    # The mean over the sizes run: no trend with the hosts is above the noise there.
    reads_a_host = sum(y for _, y in host_reads.points) / len(host_reads.points)
    home_writes = predict(lines["journal writes of a home"], KEYS_A_HOME)
    steward_writes = slope(lines, "a steward's writes at the platform")
    return [
        Need(
            "all",
            "reads and watches",
            reads_a_host * NODES,
            "reads/s",
            LIMIT_READS_PER_S,
        ),
        Need("all", "watches waiting", 2.0 * NODES, "calls at once", None),
        Need(
            "steward",
            "lease renewals",
            steward_writes * MODELS,
            "writes/s",
            LIMIT_WRITES_PER_S,
        ),
        Need(
            "home",
            "journal writes",
            home_writes * HOMES,
            "writes/s",
            LIMIT_WRITES_PER_S,
        ),
        Need(
            "operators",
            "patches, two writes each",
            2 * PATCHES_A_DAY / DAY_S,
            "writes/s",
            LIMIT_WRITES_PER_S,
        ),
        Need(
            "a patch",
            "sections read by all hosts",
            PATCHES_A_DAY / DAY_S * NODES,
            "reads/s",
            LIMIT_READS_PER_S,
        ),
        Need(
            "restarts",
            "calls of a day's starts",
            starts_per_s * start_calls,
            "reads/s",
            LIMIT_READS_PER_S,
        ),
        Need(
            "a zone lost",
            "calls when its hosts start again together",
            NODES / ZONES * start_calls,
            "calls",
            None,
        ),
    ]


def with_sums(needs):
    """Return needs with one more for each unit that has a limit: their sum."""
    sums = {}
    for need in needs:
        if need.limit is None:
            continue
        value = sums.get(need.unit, (0.0, 0.0))[0]
        sums[need.unit] = (value + need.value, need.limit)
    totals = [
        Need("sum", "", value, unit, limit) for unit, (value, limit) in sums.items()
    ]
    return [*needs, *totals]


def format_need(need):
    """Return one row of the page's table."""
    limit = "" if need.limit is None else f"{need.limit:g}"
    verdict = ""
    if need.limit is not None and need.value > need.limit:
        verdict = f"over, {need.value / need.limit:.1f} times"
    cells = (
        need.role,
        need.what,
        f"{need.value:.3g}",
        need.unit,
        limit,
        verdict,
    )
    return "| " + " | ".join(cells) + " |"


def format_size(lines):
    """Return the tables of the page.

    Parameters
    ----------
    lines : dict of str to Line
        All measured lines by name.
    """
    tables = (
        ("Serving, a node", serving_needs),
        ("Control, a node", control_needs),
        ("A home", home_needs),
        ("Memory, a node", memory_needs),
        ("The platform, all nodes", platform_needs),
    )
    head = "| role | what | value | unit | limit | verdict |\n|---|---|---|---|---|---|"
    parts = []
    for title, needs in tables:
        rows = [format_need(need) for need in with_sums(needs(lines))]
        parts.append("\n".join([f"### {title}", "", head, *rows]))
    return "\n\n".join(parts)
