"""Tests of snapshots."""
