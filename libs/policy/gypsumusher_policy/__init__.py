"""Decisions under load: admit, queue, refuse, place, shift."""

from gypsumusher_policy.cells import choose_cell, choose_entry
from gypsumusher_policy.quarantine import Quarantine
from gypsumusher_policy.rollout import RolloutPlanner
from gypsumusher_policy.scheduler import Scheduler
from gypsumusher_policy.shifting import ShiftPlanner
from gypsumusher_policy.types import (
    Action,
    ClassPolicy,
    Convict,
    DeploymentPolicy,
    Endpoint,
    LoadOrder,
    LoadReport,
    Refuse,
    Request,
    RoleChange,
    Start,
)

__all__ = [
    "Action",
    "ClassPolicy",
    "Convict",
    "DeploymentPolicy",
    "Endpoint",
    "LoadOrder",
    "LoadReport",
    "Quarantine",
    "Refuse",
    "Request",
    "RoleChange",
    "RolloutPlanner",
    "Scheduler",
    "ShiftPlanner",
    "Start",
    "choose_cell",
    "choose_entry",
]
