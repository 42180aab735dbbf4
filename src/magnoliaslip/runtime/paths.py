"""HTTP paths on the control address of an instance that operators query."""

STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
