"""Tests of the admin pages."""
