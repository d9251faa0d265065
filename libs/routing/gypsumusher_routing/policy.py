"""Switches of the routing mechanisms, most of which are on in service.

A mechanism can be turned on or off to measure its effect without a change of the code:
``gypsumusher_entry --with shared_speeds --without fetches,margin``.
"""

from typing import NamedTuple

__all__ = ["ALL_ON", "IN_SERVICE", "Policy", "policy_with", "policy_without"]


class Policy(NamedTuple):
    """Switches of the routing mechanisms.

    Attributes
    ----------
    lanes : bool
        Timely prompts are prefilled before late ones.
    early_refusal : bool
        Prompts that no engine would prefill in time are refused at once.
    fair_part : bool
        A share of the prompts too large to be on time is queued with the timely ones.
    learnt_costs : bool
        Prefill costs are learned from answers; otherwise the initial costs remain.
    margin : bool
        Expected times include a margin for the observed errors.
    pace : bool
        Expected times include the slowdown factor of the engine.
    reading_in_place : bool
        Decode engines prefill prompts as well.
    fetches : bool
        Cached parts are fetched from the engine that holds them.
    coming_parts : bool
        Parts that are being prefilled count as cached.
    harm : bool
        The cost of a prefill includes the delay of the streams on the same engine.
    strain : bool
        The cost also includes how close these streams are to their allowed gaps.
    own_zone : bool
        Engines of the own zone are preferred among equals.
    stages : bool
        Engines are ordered to change their stage.
    shared_loads : bool
        Hosts send each other their loads.
    hedges : bool
        An idempotent request without an answer is sent to a second endpoint.
    shared_confirmations : bool
        Hosts confirm their configuration from peers, and not each from the store.
    fleet : bool
        Engines are ordered where the operator allows it.
    engines_by_load : bool
        The number of engines that are ordered follows the load.
    limit_loans : bool
        Hosts lend each other the parts of endpoints' limits that they don't use.
    kept_knowledge : bool
        Hosts that restart use what was learned before, and share the list calls to the
        engines' caches.
    shared_speeds : bool
        Hosts share what they observe of each engine's speed and event gaps, and avoid
        slow engines by it.
    compact_updates : bool
        Between two whole status messages, hosts send only the loads that have changed.
    fair_shares : bool
        Prompts of client accounts above their fair share are sent as late ones.
    """

    lanes: bool = True
    early_refusal: bool = True
    fair_part: bool = True
    learnt_costs: bool = True
    margin: bool = True
    pace: bool = True
    reading_in_place: bool = True
    fetches: bool = True
    coming_parts: bool = True
    harm: bool = True
    strain: bool = True
    own_zone: bool = True
    stages: bool = True
    shared_loads: bool = True
    hedges: bool = True
    shared_confirmations: bool = True
    fleet: bool = True
    engines_by_load: bool = True
    limit_loans: bool = True
    kept_knowledge: bool = True
    shared_speeds: bool = True
    compact_updates: bool = True
    fair_shares: bool = True


# Policy with every mechanism.
ALL_ON = Policy()
# Policy of a host in service. Shared speeds direct prompts to few engines, whose caches
# don't hold all shared prefixes: of two days with uneven engines each was worth 0.01 to
# 0.02 less with them.
IN_SERVICE = ALL_ON._replace(shared_speeds=False)


def policy_without(names: str, policy: Policy = ALL_ON) -> Policy:
    """Return a policy with some mechanisms turned off.

    Parameters
    ----------
    names : str
        Comma-separated names of the mechanisms; may be empty.
    policy : Policy
        Policy to start from.

    Raises
    ------
    ValueError
        If a name is unknown; the message lists the known ones.
    """
    return policy._replace(**dict.fromkeys(_split_names(names), False))


def policy_with(names: str, policy: Policy = IN_SERVICE) -> Policy:
    """Return a policy with some mechanisms turned on; see `policy_without`."""
    return policy._replace(**dict.fromkeys(_split_names(names), True))


def _split_names(names):
    """Return the names in a comma-separated list, after a check that they are known."""
    found = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in found if name not in Policy._fields]
    if unknown:
        known = ", ".join(Policy._fields)
        raise ValueError(f"unknown mechanism {unknown[0]!r}; known are {known}")
    return found
