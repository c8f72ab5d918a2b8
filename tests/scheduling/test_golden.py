import json

import pytest

from tests.scheduling import golden


@pytest.mark.parametrize("deployment", golden.DEPLOYMENTS)
def test_session_decides_as_recorded(deployment):
    expected = json.loads(golden.path_of(deployment).read_text())
    assert golden.record(deployment) == expected
