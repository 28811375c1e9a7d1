"""Learns which routes carry calls: requests that targets make while they run other requests.

A call that fails fails the request that made it, and the work that was done for that request is
lost. Where targets have few slots this is most of the work: when every third call finds no slot,
half of the time of the slots goes to requests that fail. So calls are worth waiting for longer than
other requests. Nothing in a request says that it is a call. But a target makes calls only while it
runs something, so they never arrive while the target beside the entry node is idle, and other
requests sometimes do.
"""

# Below this probability of so few arrivals while idle, the route carries calls.
_SIGNIFICANCE = 0.005
# When this many arrivals of a route are counted, its counts are halved.
_MAX_ARRIVALS = 400
# A call that finds no slot is offered again after this time, until its deadline is too near.
CALL_PAUSE_SECONDS = 0.02
_MAX_CALL_ROUNDS = 8
# A target may still work for a moment on a request that its node has cancelled.
_MAX_IDLE_SHARE = 0.02


def should_offer_again(rounds, work_s, now, expires_at):
    """Decide whether a call that every asked target has turned away is offered again after a pause.

    :param rounds: how often it has been offered to several targets already, less one.
    :param work_s: how long such a call usually runs, in seconds.
    :param now: seconds on the monotonic clock.
    :param expires_at: the call's deadline, in seconds on the monotonic clock.
    :return: True or False.
    """
    return rounds < _MAX_CALL_ROUNDS and now + CALL_PAUSE_SECONDS + work_s <= expires_at


class CallRoutes:
    """Counts the arrivals at one entry node by route, while its own target is idle and in all."""

    def __init__(self):
        # Lists of the arrivals and of the arrivals while idle, by route.
        self._counts = {}
        self._called = set()

    def record(self, route, is_idle):
        """Record the arrival of a request.

        :param route: the route's name.
        :param is_idle: whether the target beside this entry node runs nothing.
        :return: None.
        """
        counts = self._counts.setdefault(route, [0, 0])
        counts[0] += 1
        counts[1] += is_idle
        if counts[0] > _MAX_ARRIVALS:
            counts[0] /= 2
            counts[1] /= 2
        if counts[1] > _MAX_IDLE_SHARE * counts[0]:
            self._called.discard(route)
        elif route not in self._called and self._is_significant(route, counts):
            self._called.add(route)

    def is_called(self, route):
        """Tell whether a route carries calls.

        :param route: the route's name.
        :return: True or False; False until enough requests have arrived.
        """
        return route in self._called

    def retain(self, routes):
        """Drop what is known of routes that are no longer configured.

        :param routes: the configured routes.
        :return: None.
        """
        names = {route.name for route in routes}
        self._counts = {name: counts for name, counts in self._counts.items() if name in names}
        self._called &= names

    def _is_significant(self, route, counts):
        others = [
            other
            for name, other in self._counts.items()
            if name != route and name not in self._called
        ]
        arrivals = sum(other[0] for other in others)
        if not arrivals:
            return False
        idle_share = sum(other[1] for other in others) / arrivals
        return (1 - idle_share) ** counts[0] < _SIGNIFICANCE
