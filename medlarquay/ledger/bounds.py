"""Bounds of the ledger."""

__all__ = (
    'CLOCK_ERROR_S',
    'CONVERGENCE_S',
    'MAX_ANSWER_BYTES',
    'MAX_ENTRIES',
    'MAX_TOTAL_ANSWER_BYTES',
    'RETENTION_S',
)

RETENTION_S = 600
# Time within which an accepted configuration is in force everywhere. A node
# whose configuration was confirmed longer ago accepts no plain keys.
CONVERGENCE_S = 5
# Largest difference of two wall clocks that the proofs allow for.
CLOCK_ERROR_S = 2

MAX_ANSWER_BYTES = 16384
MAX_TOTAL_ANSWER_BYTES = 8388608
# About 55 keyed requests a second over the retention.
MAX_ENTRIES = 32768
