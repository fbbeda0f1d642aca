"""Tests of the protocols over sockets."""
