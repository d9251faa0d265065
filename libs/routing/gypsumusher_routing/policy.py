"""Switches of the mechanisms that decide, all on in service.

Each can be taken out for a measurement of what it is worth, without a change of the
code: ``gypsumusher_entry --without fetches,margin``.
"""

from typing import NamedTuple

__all__ = ["ALL_ON", "Policy", "policy_without"]


class Policy(NamedTuple):
    """Which mechanisms decide.

    Attributes
    ----------
    lanes : bool
        Timely prompts pass late ones.
    early_refusal : bool
        What no engine would read in time is refused at once.
    fair_part : bool
        Some of the prompts too large to be on time go in line with the timely ones.
    learnt_costs : bool
        Answers teach what reading costs; otherwise the first guess stays.
    margin : bool
        Expectations are taken longer by the errors seen.
    pace : bool
        Engines that are slower than others are told apart.
    reading_in_place : bool
        Engines that make tokens read prompts too.
    fetches : bool
        Kept parts are fetched from the engine that holds them.
    coming_parts : bool
        Parts that are being read count as kept.
    harm : bool
        A reading counts what it does to the streams beside it.
    strain : bool
        So does the strain that those streams are under.
    own_zone : bool
        Engines of the own zone go before others as good.
    stages : bool
        Engines are ordered to change their stage.
    shared_loads : bool
        Hosts tell each other what they have under way.
    hedges : bool
        An idempotent request without an answer is sent to a second endpoint.
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


# What decides in service.
ALL_ON = Policy()


def policy_without(names: str) -> Policy:
    """Return the policy without some mechanisms.

    Parameters
    ----------
    names : str
        Their names, separated by commas; empty for none.

    Raises
    ------
    ValueError
        When a name is unknown; the message lists the known ones.
    """
    off = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in off if name not in Policy._fields]
    if unknown:
        known = ", ".join(Policy._fields)
        raise ValueError(f"unknown mechanism {unknown[0]!r}; known are {known}")
    return Policy(**dict.fromkeys(off, False))
