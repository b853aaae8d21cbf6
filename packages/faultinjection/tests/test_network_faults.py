"""Link proxies on sockets that fail: a proxy passes on until it is closed."""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop import Listener, Loop, VirtualClock, connect
from walnutpost.faultinjection.network import LinkProxy
from walnutpost.testsupport.eventloop.scripted_sockets import bound_to, connected_to, scripted_sockets


@pytest.mark.parametrize("number", [errno.EPROTO, errno.ENETDOWN, errno.EPERM])
def test_proxy_after_failed_accepts_and_connects_passes_on(number: int) -> None:
    loop = Loop(VirtualClock())

    def body() -> None:
        target = Listener(loop, ("127.0.0.1", 0))
        proxy = LinkProxy(loop, lambda: target.address)
        faults.fail("accept", number, times=3, when=bound_to(proxy.address))
        faults.fail("connect", number, when=connected_to(target.address))
        with loop.timeout(10_000_000):
            with pytest.raises(ConnectionResetError):  # as it connects, or after
                connect(loop, proxy.address).recv()
            near = connect(loop, proxy.address)
            near.send_all(b"passed on")
            far = target.accept()
            assert far.recv() == b"passed on"
        assert faults.failed == {"accept": 3, "connect": 1}
        for end in (near, far, target):
            end.close()

    with scripted_sockets() as faults:
        loop.run(body)
