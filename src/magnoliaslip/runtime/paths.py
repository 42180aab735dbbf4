"""HTTP paths of operators' queries, on the control address of an instance."""

STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
