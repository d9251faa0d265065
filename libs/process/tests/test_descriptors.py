"""The limit on open descriptors."""

import resource

from gypsumusher_process import raise_descriptor_limit


def test_number_that_no_system_knows_leaves_the_limit(monkeypatch):
    """Guards against an exit because the settings grant more than can be asked for."""
    limits = (128, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda _: limits)
    assert raise_descriptor_limit(10**30) == 128
