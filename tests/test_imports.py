"""A daemon loads only what its roles use."""

import pytest

from benchmarks import imports


@pytest.mark.parametrize("roles", imports.ROLES, ids="+".join)
def test_no_role_loads_the_commands_parser(roles):
    found = imports.measure_role(roles)
    assert not found["defopt"]
    assert found["grpc"] == (roles != ("agent",))
