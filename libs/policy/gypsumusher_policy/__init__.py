"""Decisions under load: admit, queue, refuse, place, shift."""

__all__: list[str] = []
