"""Development stand-ins for the platform, engines and plain services."""

__all__: list[str] = []
