"""Planned size of the system, and its planned control load.

``CONTROL_CORE_PERCENT`` and ``CONTROL_BYTES_PER_SECOND`` are the limits for one
node.
"""

__all__ = (
    'BACKENDS',
    'CALLS_PER_SECOND_PER_NODE',
    'CENTRES',
    'CHANGES_PER_SECOND',
    'CONTROL_BYTES_PER_SECOND',
    'CONTROL_CORE_PERCENT',
    'INSTANCE_CHANGES_PER_SECOND',
    'NODES_PER_CENTRE',
    'REGIONS',
    'SERVICES_PER_TEAM',
    'TEAMS',
)

_SECONDS_PER_DAY = 86400

REGIONS = 4
CENTRES = 16
BACKENDS = 8000
NODES_PER_CENTRE = BACKENDS // CENTRES
TEAMS = 50
SERVICES_PER_TEAM = 20
CALLS_PER_SECOND_PER_NODE = 125
CHANGES_PER_SECOND = 7200 / _SECONDS_PER_DAY
# 500 restarts or replacements and 13 failures per day. Each changes the
# instance list three times: the instance is leaving, removed and live again.
INSTANCE_CHANGES_PER_SECOND = 3 * 513 / _SECONDS_PER_DAY
CONTROL_CORE_PERCENT = 3.3
CONTROL_BYTES_PER_SECOND = 9000
