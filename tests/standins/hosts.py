"""Statuses and views of hosts with default values for tests."""

from camphorshelf_core.hosts import HostStatus, HostView


def make_status(name, **changes):
    """Make a host's status with default values.

    :param name: the host's name, which is its address too.
    :param changes: the fields that differ from the defaults.
    :return: the :class:`HostStatus`.
    """
    defaults = HostStatus(
        host=name,
        incarnation="i1",
        sequence=1,
        domain="a",
        address=name,
        service="counter",
        instance=f"i-{name}",
        accepting=True,
        warming_s=0.0,
        limit=7,
        running=0,
        queued=0,
        slowness=1.0,
        work_s=0.1,
        failure_ratio=0.0,
        config_version=1,
        lacks_store_access=False,
        revision=1,
        push_interval_s=0.2,
    )
    return defaults._replace(**changes)


def make_view(status, heard_at=0.0):
    """Make the view of a host from which one status was received.

    :param status: its :class:`HostStatus`.
    :param heard_at: when the status was received, in seconds.
    :return: the :class:`HostView`.
    """
    view = HostView()
    view.apply(status, heard_at)
    return view
