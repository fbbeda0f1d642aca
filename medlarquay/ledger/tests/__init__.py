"""Tests of the idempotency ledger."""
