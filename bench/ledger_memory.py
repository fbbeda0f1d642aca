"""Memory of ledger entries, and time of a ledger decision.

Prints one ``name=value`` a line. Bytes are traced allocations over the
number of entries; each entry has its own key and fingerprint.
"""

import statistics
import time
import tracemalloc

from medlarquay import events, ids, keys, ledger, states

__all__ = ('main',)

_ENTRIES = 20000
_ROUNDS = 5
_BODY_BYTES = 200
_MICROSECONDS = 1e6
_WALL = 1700000000
_INSTANCE = ids.InstanceId('order-1')
_INCARNATION = ids.Incarnation('a1b2c3d4e5f60718')


def main() -> None:
    """Measure entries without an answer and with a small one."""
    for name, body_bytes in (('unknown', None), ('answer_200', _BODY_BYTES)):
        tracemalloc.start()
        book = _book()
        before = tracemalloc.get_traced_memory()[0]
        _fill(book, body_bytes)
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(f'bytes_per_entry_{name}={(after - before) / _ENTRIES:.0f}')
    samples = []
    for _ in range(_ROUNDS):
        book = _book()
        started = time.perf_counter()
        _fill(book, _BODY_BYTES)
        spent = time.perf_counter() - started
        samples.append(spent / _ENTRIES * _MICROSECONDS)
    print(f'microseconds_per_key={statistics.median(samples):.2f}')


def _book() -> ledger.Ledger:
    book = ledger.Ledger(instance=_INSTANCE, incarnation=_INCARNATION)
    ledger.decide(events.FreshnessConfirmed(confirmed_at=1), book, 1, _WALL)
    return book


def _fill(book: ledger.Ledger, body_bytes: int | None) -> None:
    for number in range(_ENTRIES):
        key = keys.parse_key(
            keys.issue_key(
                instance=_INSTANCE,
                incarnation=_INCARNATION,
                issued_at=_WALL,
            ),
        )
        presented = ledger.KeyReceived(
            key=key,
            fingerprint=ids.Fingerprint(number.to_bytes(16)),
            exchange=ids.ExchangeId(number),
        )
        ledger.decide(presented, book, 1, _WALL)
        ledger.decide(_outcome(key.text, body_bytes), book, 1, _WALL)


def _outcome(key: ids.RequestKey, body_bytes: int | None) -> object:
    if body_bytes is None:
        return ledger.OutcomeLost(
            key=key,
            reason=states.RefusalReason.BACKEND_LOST,
        )
    return ledger.Answered(
        key=key,
        answer=ledger.RecordedAnswer(
            status=200,
            headers=((b'content-type', b'application/json'),),
            body=bytes(body_bytes),
        ),
    )


if __name__ == '__main__':
    main()
