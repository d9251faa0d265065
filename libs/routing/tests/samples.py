"""Values and helpers shared by the tests of the routing decisions."""

from gypsumusher_ports import EndpointRecord, EngineLimits, Generation, PromptPart
from gypsumusher_routing import EndpointState

LIMITS = EngineLimits(64, 450_000, 35_000.0, 740e9, 5.0, 3.0)
NO_LIMIT_S = 60.0


def constant_draw():
    """Return the same number for each draw, so that ties are broken predictably."""
    return 0.0


def engine(name, stage="prefill", zone="a", slots=64):
    """Return the state of an idle engine."""
    record = EndpointRecord(
        name, 1, "llm", f"10.0.0.{abs(hash(name)) % 200}:80", zone, slots, False, 0.0,
        stage, 1,
    )  # fmt: skip
    return EndpointState(record, LIMITS.kv_tokens)


def prompt(shared_id, shared_tokens, own_tokens, own_id=None):
    """Return a generation whose prompt has a shared part and a part of its own."""
    own_id = own_id if own_id is not None else shared_id * 1000 + own_tokens
    parts = (PromptPart(shared_id, shared_tokens), PromptPart(own_id, own_tokens))
    return Generation("m", shared_tokens + own_tokens, 80, 40, parts)
