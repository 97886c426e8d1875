"""Plugins of the test run; modules whose assertions pytest explains."""

import pytest

pytest.register_assert_rewrite("fleet_checks")

pytest_plugins = ["known_red", "program_groups", "socketrig"]
