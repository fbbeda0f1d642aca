"""Tests of the choice of owner and of retries."""
