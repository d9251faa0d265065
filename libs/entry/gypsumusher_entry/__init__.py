"""Program of an entry host: carries callers' requests to engines and services."""
