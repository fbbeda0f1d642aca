"""Tests of large calls that are offered to the owner."""

from medlarquay import events, ids, messages, states
from medlarquay.tasks.tests import owner_bench

_BYTES_PER_S = 625_000
_BODY_BYTES = 60_000
_INGRESSES = 40


class _OfferBench(owner_bench.OwnerBench):
    """An owner behind a slow link, with ingresses that offer large calls."""

    def __init__(self, *, slots: int = 2) -> None:
        super().__init__(slots=slots)
        self.owner.set_link_rate(_BYTES_PER_S)

    def offer(
        self,
        number: int,
        *,
        link: int = owner_bench.LINK,
        timeout: float = 6,
        service: ids.ServiceName = owner_bench.SERVICE,
    ) -> None:
        """Post the offer of a large call."""
        deadline = self.clock.seconds() + timeout
        offer = messages.CallOffered(
            call_id=ids.CallId(number),
            team=owner_bench.TEAM,
            service=service,
            route=ids.RouteName('upload'),
            rank=states.Rank.BULK,
            deadline=deadline,
            due=deadline,
            last_attempt=True,
            body_bytes=_BODY_BYTES,
        )
        self.owner.post(
            events.OfferCall(link=ids.LinkId(link), offer=offer),
        )

    def deliver(self, number: int) -> None:
        """Post the request of an offered call, as its ingress sends it."""
        request = messages.CallRequest(
            call_id=ids.CallId(number),
            team=owner_bench.TEAM,
            service=owner_bench.SERVICE,
            method=b'POST',
            target=b'/upload',
            headers=(),
            body=bytes(_BODY_BYTES),
            rank=states.Rank.BULK,
            idempotent=False,
            deadline=self.clock.seconds() + 6,
            route=ids.RouteName('upload'),
        )
        self.owner.post(
            events.RunCall(link=owner_bench.LINK, request=request),
        )

    def granted(self) -> list[int]:
        """Return the calls that were granted, in order."""
        return [grant.call_id for grant in self.links.of_type(events.SendGrant)]


def test_next_body_is_granted_when_one_has_arrived() -> None:
    """Guards against a link that many ingresses fill at the same time."""
    bench = _OfferBench()
    for number in (1, 2, 3):
        bench.offer(number)
    assert bench.granted() == [1]
    bench.deliver(1)
    assert bench.granted() == [1, 2]
    assert bench.started_paths() == ['/upload']
    bench.cancel(2)
    assert bench.granted() == [1, 2, 3]


def test_burst_of_uploads_is_refused_at_once() -> None:
    """Guards against a burst that is sent although the link cannot take it."""
    bench = _OfferBench()
    for number in range(_INGRESSES):
        bench.offer(number, link=number + 1, timeout=1)
    reasons = set(bench.outcomes().values())
    assert reasons == {'not-run link_full'}
    waiting = _INGRESSES - len(bench.outcomes())
    assert waiting * _BODY_BYTES <= _BYTES_PER_S


def test_offer_that_would_be_refused_is_not_granted() -> None:
    """Guards against a body that is sent and then refused."""
    bench = _OfferBench()
    bench.offer(1, service=ids.ServiceName('other'))
    bench.offer(2, timeout=0)
    bench.owner.post(events.BackendChanged(state=states.BackendState.DOWN))
    bench.offer(3)
    bench.recover()
    bench.configure(states.InstanceState.LEAVING)
    bench.offer(4)
    assert bench.outcomes() == {
        1: 'not-run no_backend',
        2: 'not-run deadline_passed',
        3: 'not-run backend_down',
        4: 'not-run draining',
    }
    assert not bench.granted()


def test_waiting_offers_are_refused_when_the_owner_stops_work() -> None:
    """Guards against offers that wait for an owner that takes no more work."""
    for reason, message in (
        ('draining', events.DrainRequested()),
        (
            'backend_down',
            events.BackendChanged(state=states.BackendState.DOWN),
        ),
    ):
        bench = _OfferBench()
        bench.offer(1)
        bench.offer(2)
        bench.owner.post(message)
        assert bench.outcomes() == {2: f'not-run {reason}'}


def test_waiting_offers_end_with_their_service() -> None:
    """Guards against an upload that is granted by another service."""
    bench = _OfferBench()
    bench.offer(1)
    bench.offer(2)
    bench.configure(
        states.InstanceState.LIVE,
        run=ids.InstanceId('run-2'),
        service=ids.ServiceName('press-archive'),
    )
    assert bench.outcomes() == {2: 'not-run no_backend'}


def test_paused_ingress_does_not_hold_up_others() -> None:
    """Guards against a grant that is never used and blocks the link."""
    bench = _OfferBench()
    bench.offer(1)
    bench.offer(2, link=4)
    bench.wait(1)
    assert bench.granted() == [1, 2]


def test_offers_of_a_closed_link_are_forgotten() -> None:
    """Guards against room that is kept for an ingress that is gone."""
    bench = _OfferBench()
    bench.offer(1)
    bench.offer(2, link=4)
    bench.owner.post(events.LinkClosed(link=owner_bench.LINK))
    assert bench.granted() == [1, 2]
