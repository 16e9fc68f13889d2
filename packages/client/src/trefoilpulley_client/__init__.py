"""PEP 249 client of the proxy."""
