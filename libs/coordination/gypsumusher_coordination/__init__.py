"""Coordination state machines without input or output."""

__all__: list[str] = []
