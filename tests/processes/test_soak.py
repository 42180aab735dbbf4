"""A short run of the soak; ``python -m tests.soak`` runs longer ones."""

from functools import partial

import anyio

from tests.soak.__main__ import soak

SEED = 1
FAULT_SECONDS = 8.0


def test_soak_keeps_every_promise(tmp_path):
    promises, faults = anyio.run(partial(soak, tmp_path, SEED, FAULT_SECONDS))
    assert len(faults) > 3
    assert promises.violations == []
    assert promises.served > 100
