"""Sample objects of the platform store, for tests and for the soak run."""

import random
import string

__all__ = ["sample_configuration", "sample_endpoint_entry", "sample_routes"]

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
