"""Test doubles of the platform: source, backend server and caller."""
