"""Paths at which an instance answers operators, on its control address."""

STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
