"""Parsing and digests of values of the source."""

import hashlib
import json
import sys

from medlarquay import ids, states
from medlarquay.replica import instance_record, source_value

__all__ = ('digest_of', 'parse_instance', 'parse_listed')


def digest_of(content: bytes) -> ids.Digest:
    """Return the SHA-256 digest of a document."""
    return ids.Digest(hashlib.sha256(content).digest())


def parse_listed(
    entry: source_value.SourceValue,
) -> instance_record.InstanceRecord | None:
    """Parse an entry of the instance list; None if it names no instance.

    Parameters
    ----------
    entry : SourceValue
        Entry as read from the source, possibly removed or malformed.
    """
    if entry.content is None:
        return None
    try:
        return parse_instance(content=entry.content, revision=entry.revision)
    except (KeyError, TypeError, ValueError):
        return None


def parse_instance(
    *,
    content: bytes,
    revision: ids.Revision,
) -> instance_record.InstanceRecord:
    """Parse one entry of the instance list.

    Parameters
    ----------
    content : bytes
        Entry as published (JSON).
    revision : ids.Revision
        Revision of the entry.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or malformed.
    """
    entry = json.loads(content)
    # Names repeat over thousands of records; interning them saves a third of
    # the memory of the records.
    return instance_record.InstanceRecord(
        instance=ids.InstanceId(entry['instance']),
        revision=revision,
        team=ids.TeamName(sys.intern(entry['team'])),
        service=ids.ServiceName(sys.intern(entry['service'])),
        region=ids.RegionName(sys.intern(entry['region'])),
        data_centre=ids.DataCentreName(sys.intern(entry['data_centre'])),
        host=str(entry['host']),
        caller_port=int(entry['caller_port']),
        peer_port=int(entry['peer_port']),
        slots=int(entry['slots']),
        state=states.InstanceState(entry['state']),
        node=ids.InstanceId(str(entry.get('node', ''))),
    )
