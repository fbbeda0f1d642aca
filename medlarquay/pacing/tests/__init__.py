"""Tests of the pacing of large frames."""
