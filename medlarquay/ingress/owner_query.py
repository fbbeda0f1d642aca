"""Queries for the choice of an owner."""

import functools
import types

from medlarquay import keys, messages, routing
from medlarquay.ingress import ingress_call, known_incarnations, routing_table

__all__ = ('any_owner_query', 'owner_query')

_Query = routing.AnyOwnerQuery | routing.BoundKeyQuery | routing.PlainKeyQuery


def any_owner_query(
    call: ingress_call.IngressCall,
    table: routing_table.RoutingTable,
) -> routing.AnyOwnerQuery:
    """Return a query for any owner that the call was not sent to yet.

    Parameters
    ----------
    call : IngressCall
        Call.
    table : RoutingTable
        Snapshot in force, which may be newer than that of the call.
    """
    return routing.AnyOwnerQuery(
        candidates=table.candidates(call.service),
        excluded=call.tried,
        due=call.parameters.due,
        route=call.route.name,
        large_request=(len(call.message.body) >= messages.LARGE_BODY_BYTES),
    )


@functools.singledispatch
def owner_query(
    key: object,
    call: ingress_call.IngressCall,
    table: routing_table.RoutingTable,
    incarnations: known_incarnations.KnownIncarnations,
) -> _Query:
    """Return the query for the owners that the key of a call allows.

    Parameters
    ----------
    key : BoundKey, PlainKey or None
        Key of the call.
    call : IngressCall
        Call.
    table : RoutingTable
        Snapshot in force, which may be newer than that of the call.
    incarnations : KnownIncarnations
        Incarnations of owners.

    Returns
    -------
    AnyOwnerQuery, BoundKeyQuery or PlainKeyQuery

    Raises
    ------
    TypeError
        If the type of the key is unknown.
    """
    raise TypeError(f'unexpected key {type(key).__name__}')


@owner_query.register(types.NoneType)
def _none(
    key: None,
    call: ingress_call.IngressCall,
    table: routing_table.RoutingTable,
    incarnations: known_incarnations.KnownIncarnations,
) -> _Query:
    return any_owner_query(call, table)


@owner_query.register
def _bound(
    key: keys.BoundKey,
    call: ingress_call.IngressCall,
    table: routing_table.RoutingTable,
    incarnations: known_incarnations.KnownIncarnations,
) -> _Query:
    return routing.BoundKeyQuery(
        key=key,
        backends=table.backends(call.service),
        incarnation=incarnations.incarnation_of(key.instance),
    )


@owner_query.register
def _plain(
    key: keys.PlainKey,
    call: ingress_call.IngressCall,
    table: routing_table.RoutingTable,
    incarnations: known_incarnations.KnownIncarnations,
) -> _Query:
    return routing.PlainKeyQuery(
        key=key,
        backends=table.backends(call.service),
    )
