"""Decision logic: admission, queueing, placement, retries and role changes.

The package does no input or output and reads no clock. Its functions take the present
time and events, and return the actions to carry out.
"""

from gypsumusher_policy.cells import choose_cell, choose_entry_hosts
from gypsumusher_policy.quarantine import Quarantine
from gypsumusher_policy.role_planner import RoleChangePlanner
from gypsumusher_policy.rollout import RolloutPlanner
from gypsumusher_policy.scheduler import Scheduler
from gypsumusher_policy.types import (
    Action,
    ClassPolicy,
    Conviction,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    ModelLoadOrder,
    Refuse,
    Request,
    RoleChange,
    Start,
)

__all__ = [
    "Action",
    "ClassPolicy",
    "Conviction",
    "DeploymentPolicy",
    "Endpoint",
    "LoadReport",
    "ModelLoadOrder",
    "Quarantine",
    "Refuse",
    "Request",
    "RoleChange",
    "RoleChangePlanner",
    "RolloutPlanner",
    "Scheduler",
    "Start",
    "choose_cell",
    "choose_entry_hosts",
]
