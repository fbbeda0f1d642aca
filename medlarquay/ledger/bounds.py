"""Time and memory bounds of the ledger."""

__all__ = (
    'CLOCK_ERROR_S',
    'CONVERGENCE_S',
    'MAX_ANSWER_BYTES',
    'MAX_ENTRIES',
    'MAX_TOTAL_ANSWER_BYTES',
    'RETENTION_S',
)

RETENTION_S = 600
# Time within which an accepted configuration is in force on every node. A node
# whose configuration was confirmed longer ago refuses new plain keys.
CONVERGENCE_S = 5
# Largest difference between two wall clocks for which at-most-once execution
# holds.
CLOCK_ERROR_S = 2

MAX_ANSWER_BYTES = 16384
MAX_TOTAL_ANSWER_BYTES = 8388608
# About 55 requests with a key per second over the retention.
MAX_ENTRIES = 32768
