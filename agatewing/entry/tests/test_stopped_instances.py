"""Instances that have stopped while their process lives on."""

import gevent

from agatewing.entry.tests import test_silent_targets


# An instance that had stopped went on probing its peers' addresses, which
# other instances have taken since.
def test_a_stopped_instance_sends_no_probes() -> None:
    deployment = test_silent_targets.Deployment(1)
    try:
        stopped = deployment.instances.pop()
        stopped.stop()
        before = stopped.links.sent_bytes
        gevent.sleep(1.0)
        assert stopped.links.sent_bytes == before
    finally:
        deployment.close()
