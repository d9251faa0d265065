"""Switches of the routing mechanisms, all of which are on in service.

A mechanism can be turned off to measure its effect without a change of the code:
``gypsumusher_entry --without fetches,margin``.
"""

from typing import NamedTuple

__all__ = ["ALL_ON", "Policy", "policy_without"]


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


# Policy of a host in service.
ALL_ON = Policy()


def policy_without(names: str) -> Policy:
    """Return the policy with some mechanisms turned off.

    Parameters
    ----------
    names : str
        Comma-separated names of the mechanisms; may be empty.

    Raises
    ------
    ValueError
        If a name is unknown; the message lists the known ones.
    """
    off = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in off if name not in Policy._fields]
    if unknown:
        known = ", ".join(Policy._fields)
        raise ValueError(f"unknown mechanism {unknown[0]!r}; known are {known}")
    return Policy(**dict.fromkeys(off, False))
