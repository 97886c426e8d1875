"""Plugins of the test run."""

pytest_plugins = ["known_red", "program_groups", "socketrig"]
