"""Sample objects of the platform store, for tests and for the soak run."""

import random
import string

from gypsumusher_ports import Bounds, HostSettings

__all__ = [
    "BOUNDS",
    "IDEMPOTENT_ROUTE",
    "sample_configuration",
    "sample_endpoint_entry",
    "sample_host_settings",
    "sample_routes",
]

BOUNDS = Bounds(2.0, 2.0, 8.0, 3.0, 3.0, 0.3, 0.2, 54.0, 10.0, 5.0, False)
IDEMPOTENT_ROUTE = {"kind": "idempotent", "attempts": 2}

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def sample_configuration(version, *routes):
    """Return a configuration whose routes have the given fields."""
    items = []
    for number, fields in enumerate(routes):
        route = {
            "name": f"r-{number}",
            "host": "shop.example",
            "path_prefix": f"/{number}/",
            "timeout_ms": 1500,
            "goal_ms": 100,
            "priority": 0,
            "service": "svc",
        }
        items.append({**route, **fields})
    services = [{"name": "svc", "health_path": "/healthz", "max_conns": 100}]
    return {
        "version": version,
        "routes": items,
        "services": services,
        "limits": LIMITS,
    }


def sample_routes(count, fields, seed=1):
    """Return routes with random names, hosts and paths.

    Routes that differ only by a number compress to a twentieth of their size, so that a
    response with a thousand of them would count as a small one.
    """
    rng = random.Random(seed)

    def word(length):
        return "".join(rng.choices(string.ascii_lowercase, k=length))

    routes = []
    for _ in range(count):
        host, path = f"{word(6)}.example", f"/{word(7)}/{word(3)}/"
        route = {"name": f"r-{word(7)}", "host": host, "path_prefix": path}
        routes.append({**route, **fields})
    return routes


def sample_endpoint_entry(address, state="ready", sequence=1, **fields):
    """Return the entry that an endpoint writes for itself."""
    return {
        "service": "svc",
        "addr": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "warmup_left_ms": 0,
        "seq": sequence,
        **fields,
    }


def sample_host_settings(store, ip="127.0.0.1", name="host-1", seeds=(), port=0):
    """Return settings of a host with all ports assigned at start."""
    return HostSettings(
        name, ip, "zone-a", "region", f"{ip}:0", f"{ip}:0", f"{ip}:0", f"{ip}:0", port,
        seeds, store, False, 1.0, 1000.0, BOUNDS,
    )  # fmt: skip
